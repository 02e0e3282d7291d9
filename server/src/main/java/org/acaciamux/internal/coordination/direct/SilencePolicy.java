package org.acaciamux.internal.coordination.direct;

/**
 * Decides when a send without incoming bytes is abandoned although its connection is
 * open, because the server is unreachable, hangs or has lost the response. Holds no
 * state.
 */
public final class SilencePolicy {

	/**
	 * Multiple of the goal after which a request without a stream is sent to another
	 * server: its response would be late anyway.
	 */
	private static final double GOAL_MULTIPLE = 1.5;

	/**
	 * Time without bytes from a server after which it counts as unresponsive, in
	 * milliseconds.
	 */
	private static final long UNRESPONSIVE_MS = 1_000;

	/** Multiple of the pause goal after which a stream counts as stuck. */
	private static final int PAUSE_GOAL_MULTIPLE = 4;

	private SilencePolicy() {
	}

	/**
	 * Decide whether a silent send is abandoned.
	 * @param route the request's route
	 * @param silentMs milliseconds since its last bytes
	 * @param answering whether the response has begun
	 * @param firstSend whether no earlier send arrived at a server
	 * @param unresponsive whether the server is silent on all its connections
	 * @return whether to abandon the send
	 */
	public static boolean shouldGiveUp(ServiceRoute route, long silentMs, boolean answering, boolean firstSend,
			boolean unresponsive) {
		if (!route.streaming()) {
			return !answering && firstSend && silentMs > route.goalMs() * GOAL_MULTIPLE;
		}
		if (!answering) {
			return unresponsive && silentMs > UNRESPONSIVE_MS;
		}
		return silentMs > Math.max(UNRESPONSIVE_MS, PAUSE_GOAL_MULTIPLE * route.pauseGoalMs());
	}

	/**
	 * Return whether a server counts as unresponsive.
	 * @param serverSilentMs milliseconds since bytes last came from the server
	 * @return whether a server with requests is unresponsive
	 */
	public static boolean unresponsive(long serverSilentMs) {
		return serverSilentMs > UNRESPONSIVE_MS;
	}

}

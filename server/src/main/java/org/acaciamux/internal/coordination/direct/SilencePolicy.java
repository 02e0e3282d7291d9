package org.acaciamux.internal.coordination.direct;

/**
 * Decides when a server counts as silent although the connection is open, because it is
 * unreachable, hangs or has lost the response. A silent server is left only for another
 * one that takes the request over, because it may also be sound and go on. Holds no
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

	/**
	 * Time without bytes after which a stream that has begun counts as stuck, in
	 * milliseconds: longer than the pauses of sound servers, and short enough for another
	 * server to go on before callers leave.
	 */
	private static final long STREAM_STUCK_MS = 2_000;

	/** Multiple of the pause goal after which such a stream counts as stuck. */
	private static final int PAUSE_GOAL_MULTIPLE = 4;

	private SilencePolicy() {
	}

	/**
	 * Decide whether a send is silent for so long that another server should take over.
	 * @param route the request's route
	 * @param silentMs milliseconds since its last bytes
	 * @param responseStarted whether the response has begun
	 * @param firstSend whether no earlier send arrived at a server
	 * @param unresponsive whether the server is silent on all its connections
	 * @return whether another server should take over
	 */
	public static boolean needsTakeover(ServiceRoute route, long silentMs, boolean responseStarted, boolean firstSend,
			boolean unresponsive) {
		if (!route.streaming()) {
			return !responseStarted && firstSend && silentMs > route.goalMs() * GOAL_MULTIPLE;
		}
		if (!responseStarted) {
			return unresponsive && silentMs > UNRESPONSIVE_MS;
		}
		return silentMs > Math.max(STREAM_STUCK_MS, PAUSE_GOAL_MULTIPLE * route.pauseGoalMs());
	}

	/**
	 * Decide whether new requests avoid the server of a silent send.
	 * @param route the request's route
	 * @param silentMs milliseconds since its last bytes
	 * @param unresponsive whether the server is silent on all its connections
	 * @return whether the server is suspect
	 */
	public static boolean suspect(ServiceRoute route, long silentMs, boolean unresponsive) {
		double expectedMs = route.streaming() ? 0 : route.goalMs() * GOAL_MULTIPLE;
		return unresponsive && silentMs > Math.max(UNRESPONSIVE_MS, expectedMs);
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

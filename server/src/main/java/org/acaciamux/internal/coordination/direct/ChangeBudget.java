package org.acaciamux.internal.coordination.direct;

/**
 * The time from the moment at which the directory has acknowledged a change, a server
 * that leaves or a configuration, until no router sends a request by the state before it,
 * and the share of each wait on the way. Invariant: the shares of each way add up to
 * {@link #BOUND_MS} at most. Holds no state.
 *
 * <p>
 * A router whose watch delivers knows of a change at once. If the watch is cut, the
 * change may have happened up to {@link #GAP_MS} earlier; a pause and a list follow. If
 * the watch is silent, another router tells of the change in a message, this one waits
 * for its own watch and then fetches the state; if that fails, it fetches from the next
 * router that tells.
 */
public final class ChangeBudget {

	/**
	 * Smallest bound of a deployment on the use of a server that has left or of a former
	 * configuration, in milliseconds.
	 */
	static final long BOUND_MS = 2_000;

	/** How long a directory may tell watches nothing before it cuts them. */
	static final long GAP_MS = 1_000;

	/** Longest pause before a failed call to the directory is repeated. */
	public static final long RETRY_PAUSE_MS = 300;

	/** Until a message of another router arrives. */
	static final long MESSAGE_MS = ExchangePolicy.PACE_MS;

	/** How long the own watch may take to report what another router knows. */
	static final long OWN_WATCH_MS = 400;

	/** Time without a byte after which a fetch of another router's state has failed. */
	public static final long FETCH_TIMEOUT_MS = 600;

	/** Response of a router or directory in service. */
	static final long RESPONSE_MS = 300;

	/** From the choice of a server until the request reaches it. */
	static final long SEND_MS = 100;

	/**
	 * Since the last failed call, how long entries are kept that vanished in an outage:
	 * those of live servers are back two seconds after its end. If the outage was this
	 * router's alone, a server may have left at that call.
	 */
	static final long OUTAGE_KEEP_MS = BOUND_MS - RESPONSE_MS;

	private ChangeBudget() {
	}

	/**
	 * Return the longest way if the watch of a router is cut: the next one shows that the
	 * history was dropped, and a list follows.
	 * @return the time in milliseconds
	 */
	static long cutWatchMs() {
		return GAP_MS + RETRY_PAUSE_MS + 2 * RESPONSE_MS + SEND_MS;
	}

	/**
	 * Return the longest way if the watch of a router is silent and a router from which
	 * it fetches does not respond.
	 * @return the time in milliseconds
	 */
	static long silentWatchMs() {
		return untilFetchMs() + FETCH_TIMEOUT_MS + MESSAGE_MS + RESPONSE_MS + SEND_MS;
	}

	/**
	 * Return how long an entry is kept that a router misses after a silent watch. A
	 * server that has left while the directory was in service left no longer ago than a
	 * fetch takes: otherwise other routers would have told before.
	 * @return the time in milliseconds
	 */
	static long silentWatchKeepMs() {
		return BOUND_MS - untilFetchMs() - RESPONSE_MS - SEND_MS;
	}

	// Fetches begin with messages, so the wait for the own watch ends with one.
	private static long untilFetchMs() {
		return MESSAGE_MS + (OWN_WATCH_MS + MESSAGE_MS - 1) / MESSAGE_MS * MESSAGE_MS;
	}

}

package org.acaciamux.internal.coordination.direct;

/**
 * Decides how long a router waits for changes of its directory, for watches that stop
 * delivering. Holds no state.
 */
public final class DirectoryPolicy {

	/**
	 * Watch timeout for each router that watches, in milliseconds: with it, one of them
	 * renews its watch about once a second and passes on the changes to the others.
	 */
	private static final long WAIT_MS_PER_ROUTER = 1_000;

	/** Shortest watch timeout before randomisation, in milliseconds. */
	private static final long MIN_WAIT_MS = 2_000;

	/**
	 * Longest watch timeout before randomisation, in milliseconds: a watch that stopped
	 * delivering is noticed after this time if no other router passes on the changes.
	 */
	private static final long MAX_WAIT_MS = 12_000;

	/**
	 * How much longer a router that does not watch keeps such an entry, in milliseconds:
	 * it hears of the return of a server two messages later at most.
	 */
	public static final long FOLLOWER_HOLD_MS = 2 * ExchangePolicy.PACE_MS;

	private DirectoryPolicy() {
	}

	/**
	 * Choose the timeout of a watch. Half of it is random, so that the routers of a fleet
	 * that starts at once do not all renew their watches at the same time.
	 * @param routers the live routers that watch the same objects, at least 1
	 * @param random a uniform number from 0.0 to below 1.0
	 * @return the timeout in milliseconds
	 */
	public static long watchWaitMs(int routers, double random) {
		long full = Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, routers * WAIT_MS_PER_ROUTER));
		return (long) (full * (1 + random) / 2);
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides which routers receive a message and how long a silent router still counts as
 * live. Bounds what a router sends and receives in a large fleet, and keeps counts right
 * although messages from most routers are rare. Holds no state.
 */
public final class ExchangePolicy {

	/**
	 * Number of receivers of one message. Up to this fleet size every router receives it,
	 * because the load bound of a server with few requests needs exact counts.
	 */
	public static final int FANOUT = 24;

	/** Interval of the messages to the other routers, in milliseconds. */
	public static final long PACE_MS = 250;

	/**
	 * Number of messages expected on average from a live router within the time after
	 * which a silent one counts as dead: in a large fleet, 2 in 100 live routers send
	 * none in that time.
	 */
	private static final double MISSED_MESSAGES = 4;

	/**
	 * Shortest time until a router counts as dead, in milliseconds: five missed messages
	 * in a fleet in which every router receives every message.
	 */
	private static final long MIN_LIVENESS_TIMEOUT_MS = 1_500;

	private ExchangePolicy() {
	}

	/**
	 * Draw the receivers of the next message.
	 * @param routers the other routers
	 * @param random the source of randomness
	 * @param <T> type of a router
	 * @return all routers, or {@link #FANOUT} random ones of a larger fleet
	 */
	public static <T> Collection<T> receivers(Collection<T> routers, RandomGenerator random) {
		if (routers.size() <= FANOUT) {
			return routers;
		}
		List<T> drawn = new ArrayList<>(routers);
		for (int i = 0; i < FANOUT; i++) {
			Collections.swap(drawn, i, i + random.nextInt(drawn.size() - i));
		}
		return drawn.subList(0, FANOUT);
	}

	/**
	 * Return how long a router counts as live without a message.
	 * @param routers the other routers that are known
	 * @return the time in milliseconds
	 */
	public static long livenessTimeoutMs(int routers) {
		return Math.max(MIN_LIVENESS_TIMEOUT_MS, (long) (MISSED_MESSAGES * PACE_MS * routers / FANOUT));
	}

}

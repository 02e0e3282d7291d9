package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides which routers hear a message and how long a router that was not heard still
 * counts as live. Answers fleets that grow: what a router sends and receives is bounded,
 * and counts stay right although most routers are heard rarely. Holds no state.
 */
public final class ExchangePolicy {

	/**
	 * Routers that hear one message. Up to this size of a fleet all of them do, because
	 * the load bound of a server with few requests needs exact counts.
	 */
	public static final int FANOUT = 24;

	/** Pace of the messages to the other routers, in milliseconds. */
	public static final long PACE_MS = 250;

	/**
	 * Messages that a live router has sent here on average before it counts as dead: of
	 * the routers of a large fleet, 2 in 100 send none in that time.
	 */
	private static final double MISSED = 4;

	/**
	 * Shortest time until a router counts as dead, in milliseconds: five missed messages
	 * of a fleet in which all hear all.
	 */
	private static final long MIN_LIVE_MS = 1_500;

	private ExchangePolicy() {
	}

	/**
	 * Draw the routers that hear the next message.
	 * @param routers the other routers
	 * @param random the source of randomness
	 * @param <T> type of a router
	 * @return all of them, or as many random ones as a message has receivers
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
	 * @return milliseconds
	 */
	public static long liveMs(int routers) {
		return Math.max(MIN_LIVE_MS, (long) (MISSED * PACE_MS * routers / FANOUT));
	}

}

package org.acaciamux.internal.coordination.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The most urgent rank among the recent requests of each service. Only requests to the
 * same service compete for its slots, so ranks count relative to it: if all requests of a
 * service have rank 2, none of them has to make way. Confined to the event loop.
 */
public final class UrgentRanks {

	/** How long a rank counts after its last request, in nanoseconds. */
	private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** When each rank was last seen, in monotonic nanoseconds, by service. */
	private final Map<String, TreeMap<Integer, Long>> seenAt = new HashMap<>();

	/**
	 * Record the arrival of a request.
	 * @param service its service
	 * @param rank its rank; 0 is the most urgent
	 * @param now the monotonic time in nanoseconds
	 */
	public void arrived(String service, int rank, long now) {
		this.seenAt.computeIfAbsent(service, (name) -> new TreeMap<>()).put(rank, now);
	}

	/**
	 * Return the rank of a request relative to the most urgent one of its service.
	 * @param service the service
	 * @param rank the rank of the request
	 * @param now the monotonic time in nanoseconds
	 * @return the relative rank, at least 0
	 */
	public int relative(String service, int rank, long now) {
		TreeMap<Integer, Long> ranks = this.seenAt.get(service);
		if (ranks == null) {
			return 0;
		}
		ranks.values().removeIf((at) -> now - at > RECENT_NANOS);
		return ranks.isEmpty() ? 0 : Math.max(0, rank - ranks.firstKey());
	}

}

package org.acaciamux.internal.coordination.direct;

/**
 * Times of the drain of a router. Immutable and thread-safe.
 *
 * @param signalledAt when the router was told to stop, monotonic time in nanoseconds
 * @param estimatesUntil until when a stream may begin because most of its route end in
 * time, monotonic time in nanoseconds; not later than balancerStopsAt
 * @param balancerStopsAt when the load balancer has stopped sending requests, monotonic
 * time in nanoseconds
 * @param stopsAt when it ends the requests that are still in progress, monotonic time in
 * nanoseconds
 */
public record DrainTimes(long signalledAt, long estimatesUntil, long balancerStopsAt, long stopsAt) {

	private static final long NANOS_PER_MS = 1_000_000;

	/**
	 * Return how long ago the router was told to stop.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, negative for a time before
	 */
	public long elapsedMs(long now) {
		return (now - this.signalledAt) / NANOS_PER_MS;
	}

	/**
	 * Return whether a stream may begin because most of its route end in time.
	 * @param now the monotonic time in nanoseconds
	 * @return whether it may
	 */
	public boolean allowsEstimates(long now) {
		return now - this.estimatesUntil < 0;
	}

	/**
	 * Return the time until the load balancer has stopped sending requests.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, at most 0 after that
	 */
	public long balancerLeftMs(long now) {
		return (this.balancerStopsAt - now) / NANOS_PER_MS;
	}

	/**
	 * Return the time until the requests in progress are ended.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, negative after that
	 */
	public long leftMs(long now) {
		return (this.stopsAt - now) / NANOS_PER_MS;
	}

}

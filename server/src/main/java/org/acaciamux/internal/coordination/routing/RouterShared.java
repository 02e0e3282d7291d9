package org.acaciamux.internal.coordination.routing;

import org.agrona.concurrent.NanoClock;

/**
 * The parts that all requests of a router share. Immutable; the parts are thread-safe.
 *
 * @param context the parts of the process
 * @param settings the limits
 * @param clock the monotonic clock
 * @param table the requests in flight
 * @param replacements the new links for lost ones
 * @param budget the retry budget
 * @param metrics the metrics
 */
record RouterShared(RouterContext context, RouterSettings settings, NanoClock clock, CallTable table,
		LinkReplacements replacements, RetryBudget budget, RouterMetrics metrics) {

	private static final long NANOS_PER_MS = 1_000_000;

	long now() {
		return this.clock.nanoTime();
	}

	/**
	 * Return whether a span of time has passed.
	 * @param sinceNanos the start
	 * @param spanMs the span in milliseconds
	 * @return whether the span is over
	 */
	boolean passed(long sinceNanos, long spanMs) {
		return now() - sinceNanos >= spanMs * NANOS_PER_MS;
	}

	static long millis(long nanos) {
		return nanos / NANOS_PER_MS;
	}

	static long nanos(long millis) {
		return millis * NANOS_PER_MS;
	}

}

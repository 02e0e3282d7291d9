package org.acaciamux.internal.coordination.admission;

/**
 * Estimates the rate at which the backend server completes requests, with exponentially
 * decaying weights. Invariant: the estimate is finite and not negative. Not thread-safe.
 */
final class ServiceRate {

	/** Time in milliseconds after which the weight of a completed request is 1/e. */
	private static final double WINDOW_MS = 10_000.0;

	/** Total weight of completed requests below which the rate is not estimated. */
	private static final double MIN_SAMPLES = 4.0;

	/** Wait in milliseconds that is reported while there is no estimate. */
	private static final long DEFAULT_RETRY_MS = 1_000;

	private static final long MIN_RETRY_MS = 100;

	private static final long MAX_RETRY_MS = 60_000;

	private double weight;

	private long updatedMs;

	private long startedMs = -1;

	void completed(long nowMs) {
		if (this.startedMs < 0) {
			this.startedMs = nowMs;
		}
		decay(nowMs);
		this.weight += 1;
	}

	private void decay(long nowMs) {
		this.weight *= Math.exp((this.updatedMs - nowMs) / WINDOW_MS);
		this.updatedMs = nowMs;
	}

	/**
	 * Return whether there are enough samples for an estimate.
	 * @param nowMs the time
	 * @return whether {@link #waitMs} is based on measurements
	 */
	boolean isKnown(long nowMs) {
		decay(nowMs);
		return this.weight >= MIN_SAMPLES;
	}

	/**
	 * Estimate how long a request waits behind others.
	 * @param requests the number of requests ahead of it
	 * @param nowMs the time
	 * @return milliseconds, 100 to 60,000
	 */
	long waitMs(int requests, long nowMs) {
		if (!isKnown(nowMs)) {
			return DEFAULT_RETRY_MS;
		}
		double observedMs = Math.max(1.0, nowMs - this.startedMs);
		double effectiveWindowMs = WINDOW_MS * (1 - Math.exp(-observedMs / WINDOW_MS));
		double perMs = this.weight / Math.max(1.0, effectiveWindowMs);
		return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, (requests + 1) / perMs)));
	}

}

package org.acaciamux.internal.coordination.platform;

import org.agrona.concurrent.NanoClock;

/**
 * Token bucket for all calls of this process to the platform. The platform counts each
 * call and each waiting watch as one, so each waiting watch lowers the refill rate by one
 * token a second. Invariant: over any span of {@code t} seconds at most
 * {@code burst + ratePerSecond * t} calls pass. Thread-safe.
 */
public final class CallBudget {

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Share of the rate that waiting watches cannot use, so that other calls still pass.
	 */
	private static final double RESERVED_SHARE = 0.1;

	private final NanoClock clock;

	private final double ratePerSecond;

	private final double burst;

	private double tokens;

	private long refilledAt;

	private int waitingWatches;

	private long refused;

	/**
	 * Create a full bucket.
	 * @param clock the monotonic clock
	 * @param ratePerSecond refill rate in calls a second, above 0
	 * @param burst capacity of the bucket in calls, at least 1
	 */
	public CallBudget(NanoClock clock, double ratePerSecond, int burst) {
		this.clock = clock;
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
		this.tokens = burst;
		this.refilledAt = clock.nanoTime();
	}

	/**
	 * Take the token of a call.
	 * @return whether the call may be sent
	 */
	public synchronized boolean tryCall() {
		refill();
		if (this.tokens < 1.0) {
			this.refused++;
			return false;
		}
		this.tokens -= 1.0;
		return true;
	}

	/**
	 * Take the token of a watch and count it as waiting until {@link #watchEnded()}.
	 * @return whether the watch may be sent
	 */
	public synchronized boolean tryWatch() {
		if (!tryCall()) {
			return false;
		}
		this.waitingWatches++;
		return true;
	}

	/**
	 * Note that a watch got its response and no longer waits.
	 */
	public synchronized void watchEnded() {
		refill();
		this.waitingWatches--;
	}

	/**
	 * Return the number of calls and watches that were refused because no token was left.
	 * @return the number since the start of the process
	 */
	public synchronized long refused() {
		return this.refused;
	}

	private void refill() {
		long now = this.clock.nanoTime();
		double seconds = (now - this.refilledAt) / NANOS_PER_SECOND;
		double rate = Math.max(this.ratePerSecond * RESERVED_SHARE, this.ratePerSecond - this.waitingWatches);
		this.tokens = Math.min(this.burst, this.tokens + rate * seconds);
		this.refilledAt = now;
	}

}

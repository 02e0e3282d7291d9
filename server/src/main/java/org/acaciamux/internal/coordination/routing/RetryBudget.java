package org.acaciamux.internal.coordination.routing;

import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Token bucket that limits retries to a share of the requests, so that retries cannot
 * multiply an overload. Invariant: over any period, retries are at most the burst plus
 * the share of the requests of that period. Thread-safe.
 */
public final class RetryBudget {

	private static final int TOKENS_PER_RETRY = 100;

	private final RankedLock lock = new RankedLock(LockRank.LEAF);

	private final int percent;

	private final long capacity;

	private long tokens;

	/**
	 * Create a full bucket.
	 * @param percent retries for each 100 requests, 0 to 100
	 * @param burst retries that a full bucket allows, at least 0
	 */
	public RetryBudget(int percent, int burst) {
		this.percent = percent;
		this.capacity = (long) burst * TOKENS_PER_RETRY;
		this.tokens = this.capacity;
	}

	/**
	 * Record a caller's request, which adds its share of a retry to the budget.
	 */
	public void request() {
		this.lock.run(() -> this.tokens = Math.min(this.capacity, this.tokens + this.percent));
	}

	/**
	 * Take a retry from the budget.
	 * @return whether the retry is allowed
	 */
	public boolean tryRetry() {
		return this.lock.get(() -> {
			if (this.tokens < TOKENS_PER_RETRY) {
				return false;
			}
			this.tokens -= TOKENS_PER_RETRY;
			return true;
		});
	}

	/**
	 * Give back a retry that was taken and not used.
	 */
	public void returnRetry() {
		this.lock.run(() -> this.tokens = Math.min(this.capacity, this.tokens + TOKENS_PER_RETRY));
	}

}

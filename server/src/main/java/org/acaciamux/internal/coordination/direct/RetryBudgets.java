package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

/**
 * Retry budgets of the services. The ratio limits the retries of this router relative to
 * its own requests; the allowance is shared by the routers of the fleet and divided by
 * their number. Invariants: in any window, the retries of a router are at most its share
 * of the allowance, but at least one that the ratio has earned, or two if one of them may
 * be a hedge, plus the ratio of its requests; a router that has started is granted its
 * share over {@link #GRANT_MS}, so that all restarts within one window add at most a
 * quarter of it; retries that were used stay used when the share changes. Hedges use the
 * same budget and leave at least half of the grant and one retry, so that they stop
 * before retries do. Confined to the event loop.
 */
public final class RetryBudgets {

	/** Window in which the fleet's retries are limited, in milliseconds. */
	static final long WINDOW_MS = 10_000;

	/**
	 * Time from the start until a router has its whole share, in milliseconds: four
	 * windows.
	 */
	static final long GRANT_MS = 4 * WINDOW_MS;

	/**
	 * Time of which a router has the grant when it joins the fleet, in milliseconds, so
	 * that it can retry its first requests. A router that is killed and starts again has
	 * none.
	 */
	static final long HEAD_START_MS = GRANT_MS / 10;

	/** The same time for the first router of a fleet, which nobody else serves. */
	static final long FIRST_HEAD_START_MS = GRANT_MS / 4;

	/**
	 * Share of the allowance that is divided: half, because silence does not tell a lost
	 * router from one on the other side of a partition, so that two sides may each use
	 * all of it. Without a partition, the rest covers what routers are granted that start
	 * while the retries of those before them are still in the window.
	 */
	private static final double DIVIDED_SHARE = 0.5;

	/** Share of the ratio that is used. */
	private static final double USED_RATIO = 0.7;

	/**
	 * Share of the grant that hedges leave to retries, so that requests that fail while
	 * servers are slow still find a budget.
	 */
	private static final double HEDGE_RESERVE = 0.5;

	/** Covers rounding errors of added ratios, in retries. */
	private static final double ROUNDING = 1e-6;

	private final Map<String, Budget> budgets = new HashMap<>();

	private final NanoClock clock;

	private final double ratio;

	private final double allowance;

	private final long startedAt;

	private double share;

	private boolean joined;

	private boolean known;

	private long headStartMs;

	/** Retries that the ratio saves up, whatever the share is. */
	private int savedUp = 1;

	/**
	 * Create the budgets of a router that has just started.
	 * @param ratio retries for each request that the fleet allows, 0.0 to 1.0
	 * @param allowance retries of the fleet beyond the ratio in one window, at least 0
	 * @param clock the monotonic clock
	 */
	public RetryBudgets(double ratio, double allowance, NanoClock clock) {
		this.ratio = ratio * USED_RATIO;
		this.allowance = allowance * DIVIDED_SHARE;
		this.clock = clock;
		this.startedAt = clock.nanoTime();
	}

	/**
	 * Set among how many routers the allowance is divided.
	 * @param divisor the number, at least 1; without it, only retries that the ratio of
	 * the requests allows are made
	 */
	public void routers(OptionalInt divisor) {
		if (divisor.isPresent() && !this.known) {
			this.known = true;
			this.headStartMs = this.joined ? headStartMs(divisor.getAsInt()) : 0;
		}
		this.share = divisor.isPresent() ? this.allowance / divisor.getAsInt() : 0;
	}

	private static long headStartMs(int routers) {
		return (routers == 1) ? FIRST_HEAD_START_MS : HEAD_START_MS;
	}

	/**
	 * Record that this router has joined the fleet, in which no earlier process of it can
	 * have used its share. Called before the number of routers is known.
	 */
	public void joined() {
		this.joined = true;
	}

	/**
	 * Let the ratio of the requests save up a hedge beside the retry. Otherwise routers
	 * with a small share could never hedge without using their only retry.
	 */
	public void saveUpHedge() {
		this.savedUp = 2;
	}

	private double granted() {
		long uptimeMs = TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime() - this.startedAt);
		return this.share * Math.min(1, (double) (this.headStartMs + uptimeMs) / GRANT_MS);
	}

	/**
	 * Record a request of a caller.
	 * @param service the service that serves it
	 */
	public void recordRequest(String service) {
		budget(service).giveBack(this.ratio, granted(), this.savedUp);
	}

	/**
	 * Use a retry of the budget if one is left.
	 * @param service the service that serves it
	 * @return whether the retry is allowed
	 */
	public boolean tryRetry(String service) {
		return budget(service).use(granted(), 0, this.savedUp);
	}

	/**
	 * Use a retry of the budget for a hedge if enough are left for requests that fail.
	 * @param service the service that serves it
	 * @return whether the hedge is allowed
	 */
	public boolean tryHedge(String service) {
		double granted = granted();
		return budget(service).use(granted, Math.max(1, granted * HEDGE_RESERVE), this.savedUp);
	}

	/**
	 * Give back a retry or a hedge that was taken and not used.
	 * @param service the service that serves it
	 */
	public void returnRetry(String service) {
		budget(service).giveBack(1, granted(), this.savedUp);
	}

	private Budget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new Budget());
	}

	private static final class Budget {

		/**
		 * Retries used and not yet given back. Below 0 while a smaller grant is topped up
		 * to what is saved up.
		 */
		private double used;

		void giveBack(double retries, double granted, int savedUp) {
			this.used = Math.max(this.used - retries, least(granted, savedUp));
		}

		boolean use(double granted, double reserve, int savedUp) {
			this.used = Math.max(this.used, least(granted, savedUp));
			if (this.used + 1 > granted - reserve + ROUNDING) {
				return false;
			}
			this.used++;
			return true;
		}

		// The ratio of the requests saves up this much, whatever the share is.
		private static double least(double granted, int savedUp) {
			return Math.min(0, granted - savedUp);
		}

	}

}

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
 * of the allowance plus the ratio of its requests; a router that has started is granted
 * its share over {@link #GRANT_MS}, so that all restarts within one window add at most a
 * third of it; retries that were used stay used when the share changes. Confined to the
 * event loop.
 */
public final class RetryBudgets {

	/** Window in which the fleet's retries are limited, in milliseconds. */
	static final long WINDOW_MS = 10_000;

	/**
	 * Time from the start until a router has its whole share, in milliseconds: three
	 * windows.
	 */
	static final long GRANT_MS = 3 * WINDOW_MS;

	/**
	 * Share of the limits that is divided. The rest covers what routers are granted that
	 * start while the retries of those before them are still in the window: a third of
	 * this share.
	 */
	private static final double USED_SHARE = 0.7;

	/** Covers rounding errors of added ratios, in retries. */
	private static final double ROUNDING = 1e-6;

	private final Map<String, Budget> budgets = new HashMap<>();

	private final NanoClock clock;

	private final double ratio;

	private final double allowance;

	private final long startedAt;

	private double share;

	/**
	 * Create the budgets of a router that has just started.
	 * @param ratio retries for each request that the fleet allows, 0.0 to 1.0
	 * @param allowance retries of the fleet beyond the ratio in one window, at least 0
	 * @param clock the monotonic clock
	 */
	public RetryBudgets(double ratio, double allowance, NanoClock clock) {
		this.ratio = ratio * USED_SHARE;
		this.allowance = allowance * USED_SHARE;
		this.clock = clock;
		this.startedAt = clock.nanoTime();
	}

	/**
	 * Set among how many routers the allowance is divided.
	 * @param divisor the number, at least 1; without it, only retries that the ratio of
	 * the requests allows are made
	 */
	public void routers(OptionalInt divisor) {
		this.share = divisor.isPresent() ? this.allowance / divisor.getAsInt() : 0;
	}

	// One retry can be saved up from the ratio, whatever the share is.
	private double capacity() {
		long uptimeMs = TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime() - this.startedAt);
		return Math.max(1, this.share * Math.min(1, (double) uptimeMs / GRANT_MS));
	}

	/**
	 * Record a request of a caller.
	 * @param service the service that serves it
	 */
	public void recordRequest(String service) {
		budget(service).giveBack(this.ratio);
	}

	/**
	 * Use a retry of the budget if one is left.
	 * @param service the service that serves it
	 * @return whether the retry is allowed
	 */
	public boolean tryRetry(String service) {
		return budget(service).use(capacity());
	}

	/**
	 * Give back a retry that was taken and not used.
	 * @param service the service that serves it
	 */
	public void returnRetry(String service) {
		budget(service).giveBack(1);
	}

	private Budget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new Budget());
	}

	private static final class Budget {

		/** Retries in use. The first one has to be earned by requests. */
		private double used = 1;

		void giveBack(double retries) {
			this.used = Math.max(0, this.used - retries);
		}

		boolean use(double capacity) {
			if (this.used + 1 > capacity + ROUNDING) {
				return false;
			}
			this.used++;
			return true;
		}

	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;

import org.acaciamux.internal.coordination.routing.RetryBudget;

/**
 * Retry budgets of the services. The ratio limits the retries of this router relative to
 * its own requests; the allowance is shared by the routers of the fleet and divided by
 * their number. Invariant: the budgets of all routers together stay within ratio and
 * allowance of the fleet as long as no router counts fewer live routers than there are.
 * Confined to the event loop.
 */
public final class RetryBudgets {

	/**
	 * Share of the limits that is used; the rest covers routers that restart with a full
	 * budget.
	 */
	private static final double USED_SHARE = 0.7;

	private static final int PERCENT = 100;

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final int percent;

	private final double allowance;

	private int routers = 1;

	/**
	 * Create the budgets.
	 * @param ratio retries for each request that the fleet allows, 0.0 to 1.0
	 * @param allowance retries of the fleet beyond the ratio in one window, at least 0
	 */
	public RetryBudgets(double ratio, double allowance) {
		this.percent = (int) (ratio * USED_SHARE * PERCENT);
		this.allowance = allowance * USED_SHARE;
	}

	/**
	 * Set the number of live routers. Retries that were used stay used.
	 * @param live the number, at least 1
	 */
	public void routers(int live) {
		if (live != this.routers) {
			this.routers = live;
			this.budgets.replaceAll((service, budget) -> budget.resized(burst()));
		}
	}

	private int burst() {
		return Math.max(1, (int) (this.allowance / this.routers));
	}

	/**
	 * Record a request of a caller.
	 * @param service the service that serves it
	 */
	public void recordRequest(String service) {
		budget(service).request();
	}

	/**
	 * Use a retry of the budget if one is left.
	 * @param service the service that serves it
	 * @return whether the retry is allowed
	 */
	public boolean tryRetry(String service) {
		return budget(service).tryRetry();
	}

	/**
	 * Give back a retry that was taken and not used.
	 * @param service the service that serves it
	 */
	public void returnRetry(String service) {
		budget(service).returnRetry();
	}

	private RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new RetryBudget(this.percent, burst()));
	}

}

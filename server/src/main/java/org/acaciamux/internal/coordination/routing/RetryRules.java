package org.acaciamux.internal.coordination.routing;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.routing.RouterMetrics.Count;
import org.acaciamux.internal.protocol.wire.Refused;

/**
 * Decides whether one request may be tried again. Invariant: a request that may have run
 * is tried again only if its agent does not own the partition of its key. Confined to the
 * tasks of the request.
 */
final class RetryRules {

	private final RouterShared shared;

	private final boolean keyed;

	RetryRules(RouterShared shared, boolean keyed) {
		this.shared = shared;
		this.keyed = keyed;
	}

	/**
	 * Decide whether to try another agent after a refusal. Counts a redirect, except of a
	 * suspect request. A retry without a redirect is taken from the retry budget, and
	 * denied if that is used up.
	 * @param code the code of the refusal
	 * @param refused the agent's answer
	 * @param mayHaveRun whether the refused trial may have run
	 * @param last whether it was the last trial
	 * @return whether the next trial follows
	 */
	boolean mayTryNext(FailureCode code, Refused refused, boolean mayHaveRun, boolean last) {
		if (code == FailureCode.REQUEST_QUARANTINED) {
			return false;
		}
		if (code == FailureCode.REQUEST_SUSPECT) {
			return refused.getRedirect() && !mayHaveRun && !this.keyed && !refused.getOwner().isEmpty();
		}
		if (refused.getRedirect() && (!mayHaveRun || code == FailureCode.NOT_OWNER)) {
			this.shared.metrics().count(Count.REDIRECTS);
			return true;
		}
		boolean onlyThisServer = code == FailureCode.BACKEND_DOWN || code == FailureCode.DRAINING;
		return onlyThisServer && !mayHaveRun && !this.keyed && !last && allowed();
	}

	/**
	 * Take a retry from the budget.
	 * @return whether the budget had one
	 */
	boolean allowed() {
		boolean allowed = this.shared.budget().tryRetry();
		this.shared.metrics().count(allowed ? Count.RETRIES : Count.RETRIES_DENIED);
		return allowed;
	}

}

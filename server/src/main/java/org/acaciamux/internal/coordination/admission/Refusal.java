package org.acaciamux.internal.coordination.admission;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;

/**
 * That a request does not run here. Immutable and thread-safe.
 *
 * @param failure why
 * @param redirect whether the router may try another server at once
 * @param target the VM to try, empty if the router decides
 */
record Refusal(Failure failure, boolean redirect, String target) {

	static Refusal redirect(Failure failure) {
		return new Refusal(failure, true, "");
	}

	static Refusal redirectTo(String target, Failure failure) {
		return new Refusal(failure, true, target);
	}

	static Refusal refuse(Failure failure) {
		return new Refusal(failure, false, "");
	}

	static Refusal cancelled() {
		return refuse(Failure.notRun(FailureCode.CANCELLED, "The caller went away before the request was sent", 0));
	}

	/**
	 * Return this refusal as it may be told for a request. An earlier attempt with the
	 * same key may have run, so without a durable refusal only a first attempt provably
	 * did not run.
	 * @param request the request
	 * @return the refusal
	 */
	Refusal provedFor(AgentRequest request) {
		if (!request.keyed() || request.submit().getAttempt() == 1) {
			return this;
		}
		return new Refusal(this.failure.withOutcome(Outcome.UNKNOWN), this.redirect, this.target);
	}

}

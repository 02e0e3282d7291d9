package org.acaciamux.internal.coordination.admission;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;

/**
 * The decision that a request does not run on this agent. Immutable and thread-safe.
 *
 * @param failure the reason and the outcome for the caller
 * @param redirect whether the router may try another server at once
 * @param target the id of the VM to try, empty if the router chooses
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
	 * Replace the outcome by unknown unless it is certain that the request did not run.
	 * An earlier attempt with the same key may have run, so without a durable refusal
	 * only a first attempt is known not to have run.
	 * @param request the request
	 * @return the refusal with an outcome that can be guaranteed
	 */
	Refusal withProvableOutcome(AgentRequest request) {
		if (!request.keyed() || request.submit().getAttempt() == 1) {
			return this;
		}
		return new Refusal(this.failure.withOutcome(Outcome.UNKNOWN), this.redirect, this.target);
	}

}

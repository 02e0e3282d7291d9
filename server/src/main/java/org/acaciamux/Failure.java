package org.acaciamux;

import java.util.Objects;

/**
 * A failure of a call: what happened, whether the call ran, and when to retry. Immutable
 * and thread-safe.
 *
 * @param code the stable code
 * @param outcome what is known about the execution of the call
 * @param detail what happened, why, and what to do next
 * @param retryAfterMs milliseconds after which a retry makes sense, 0 if a retry does not
 * help
 */
public record Failure(FailureCode code, Outcome outcome, String detail, long retryAfterMs) {

	public Failure {
		Objects.requireNonNull(code, "code");
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(detail, "detail");
		if (retryAfterMs < 0) {
			throw new IllegalArgumentException("retryAfterMs must be at least 0, got " + retryAfterMs);
		}
	}

	/**
	 * Create a failure of a call that provably did not run.
	 * @param code the stable code
	 * @param detail what happened, why, and what to do next
	 * @param retryAfterMs milliseconds after which a retry makes sense, 0 for never
	 * @return the failure
	 */
	public static Failure notRun(FailureCode code, String detail, long retryAfterMs) {
		return new Failure(code, Outcome.NOT_RUN, detail, retryAfterMs);
	}

	/**
	 * Create a failure of a call that may have run.
	 * @param code the stable code
	 * @param detail what happened, why, and what to do next
	 * @param retryAfterMs milliseconds after which a retry makes sense, 0 for never
	 * @return the failure
	 */
	public static Failure unknown(FailureCode code, String detail, long retryAfterMs) {
		return new Failure(code, Outcome.UNKNOWN, detail, retryAfterMs);
	}

	/**
	 * Return this failure with another outcome.
	 * @param outcome the outcome
	 * @return the new failure
	 */
	public Failure withOutcome(Outcome outcome) {
		return new Failure(this.code, outcome, this.detail, this.retryAfterMs);
	}

}

package org.acaciamux.internal.coordination.claim;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims.KeyedCall;

/**
 * The failures that keyed calls are refused with. If nothing else proves that the call
 * never ran, an attempt that was not sent is reported as {@code not-run} only if the
 * caller marked it as its first attempt; otherwise an earlier attempt may have run
 * elsewhere or may still be in transit. Thread-safe; holds no state.
 */
final class ClaimFailures {

	/** Retry delay while this agent does not own a partition, such as during a move. */
	private static final long NOT_OWNER_RETRY_MS = 500;

	private ClaimFailures() {
	}

	static Outcome unsentOutcome(KeyedCall call) {
		return call.firstAttempt() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

	static Failure invalidKey(KeyedCall call) {
		return Failure.notRun(FailureCode.KEY_INVALID, "The idempotency key '" + call.key()
				+ "' is not a UUID version 7; send one such as 017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0);
	}

	static Failure expired(IdempotencyKey key) {
		return Failure.unknown(FailureCode.KEY_EXPIRED, "The idempotency key " + key.text()
				+ " is older than the retention or has a time in the future, so it was not run now, but an earlier attempt may"
				+ " have run; check the result of the call before sending it with a new key", 0);
	}

	static Failure expiredUnsent(IdempotencyKey key) {
		return Failure.notRun(FailureCode.KEY_EXPIRED, "The idempotency key " + key.text()
				+ " expired while its claim was written, so the call never runs; send it with a new key", 0);
	}

	static Failure reused(KeyedCall call, boolean existingClaimIsDurable) {
		Outcome outcome = existingClaimIsDurable ? Outcome.NOT_RUN : unsentOutcome(call);
		return new Failure(FailureCode.KEY_REUSED, outcome, "The idempotency key " + call.key()
				+ " was used with another method, path or body; use a new key for a new call", 0);
	}

	static Failure notOwner(KeyedCall call) {
		return new Failure(FailureCode.NOT_OWNER, unsentOutcome(call),
				"This agent does not own the partition of the key " + call.key()
						+ "; send the same key again, it will reach the owner",
				NOT_OWNER_RETRY_MS);
	}

	static Failure unavailable(KeyedCall call, long retryAfterMs) {
		return new Failure(FailureCode.CLAIMS_UNAVAILABLE, unsentOutcome(call),
				"The claim of the key " + call.key()
						+ " can't be written to the platform at the moment, so the call was not sent;"
						+ " send the same key again later",
				retryAfterMs);
	}

	static Failure refusedKey(KeyedCall call) {
		return Failure.notRun(FailureCode.KEY_REFUSED, "The idempotency key " + call.key()
				+ " was refused permanently and never runs; send the call with a new key", 0);
	}

	static Failure outcomeUnknown(KeyedCall call, String history) {
		return Failure.unknown(FailureCode.OUTCOME_UNKNOWN, "The call with the key " + call.key() + " " + history
				+ ", and its answer is not held; check its result before sending it with a new key", 0);
	}

}

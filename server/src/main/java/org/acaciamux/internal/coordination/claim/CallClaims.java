package org.acaciamux.internal.coordination.claim;

import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.Outcome;

/**
 * Decides at an agent whether a keyed call may run. Invariant: for one key,
 * {@link Decision.Run} is given at most once over all agents, and only after the claim is
 * durable. Implementations are thread-safe; stages complete exactly once and never
 * exceptionally.
 */
public interface CallClaims {

	/**
	 * Claim the key of a call, so that the call may run.
	 * @param call the call
	 * @return the decision about the call
	 */
	CompletionStage<Decision> claim(KeyedCall call);

	/**
	 * Refuse a call permanently, for instance because the queue is full: after this the
	 * key never runs.
	 * @param call the call
	 * @param reason why the call is refused
	 * @return the failure to report: {@code not-run} if the refusal is durable or the
	 * call is marked as a first attempt, {@code unknown} otherwise
	 */
	CompletionStage<Failure> refuse(KeyedCall call, Failure reason);

	/**
	 * Record the answer to a call that was allowed to run.
	 * @param call the call
	 * @param answer the answer
	 */
	void answered(KeyedCall call, StoredAnswer answer);

	/**
	 * Record that a call that was allowed to run ended without an answer.
	 * @param call the call
	 * @param outcome {@link Outcome#UNKNOWN}, or {@link Outcome#NOT_RUN} only if the call
	 * provably was not sent to the backend server
	 */
	void failed(KeyedCall call, Outcome outcome);

	/**
	 * A call with an idempotency key.
	 *
	 * @param pool the pool's name
	 * @param key the key, a UUID version 7 in lower case
	 * @param digest SHA-256 of method, path and body
	 * @param firstAttempt whether the caller marked the call as its first attempt
	 */
	record KeyedCall(String pool, String key, CallDigest digest, boolean firstAttempt) {
	}

	/**
	 * Decision about a keyed call.
	 */
	sealed interface Decision {

		/**
		 * The claim is durable: send the call to the backend server now.
		 */
		record Run() implements Decision {
		}

		/**
		 * The call is already running: this caller gets the same answer once it arrives.
		 *
		 * @param end completes with the answer or the failure of the running call
		 */
		record Attach(CompletionStage<Either<Failure, StoredAnswer>> end) implements Decision {
		}

		/**
		 * The call ran earlier: the caller gets the stored answer.
		 *
		 * @param answer the answer
		 */
		record Replay(StoredAnswer answer) implements Decision {
		}

		/**
		 * The call must not run now.
		 *
		 * @param failure the failure to report
		 */
		record Refuse(Failure failure) implements Decision {
		}

	}

}

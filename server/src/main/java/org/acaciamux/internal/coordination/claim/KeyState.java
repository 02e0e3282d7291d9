package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.internal.coordination.claim.CallClaims.Decision;
import org.acaciamux.internal.coordination.claim.CallClaims.KeyedCall;

/**
 * What one agent knows about a key. Invariant: {@link Phase#RUNNING} is entered at most
 * once, from {@link Phase#CLAIMING} or {@link Phase#UNSENT}. Guarded by the ledger's
 * lock.
 */
final class KeyState {

	private final IdempotencyKey key;

	private final String digest;

	private final List<Waiter> waiters = new ArrayList<>();

	private final CompletableFuture<Either<Failure, StoredAnswer>> end = new CompletableFuture<>();

	private Phase phase;

	private boolean runForbidden;

	private int status;

	private StoredAnswer answer;

	KeyState(IdempotencyKey key, String digest, Phase phase) {
		this.key = key;
		this.digest = digest;
		this.phase = phase;
	}

	IdempotencyKey key() {
		return this.key;
	}

	String digest() {
		return this.digest;
	}

	Phase phase() {
		return this.phase;
	}

	void setPhase(Phase next) {
		this.phase = next;
	}

	List<Waiter> waiters() {
		return this.waiters;
	}

	/**
	 * Remove and return all waiters.
	 * @return the removed waiters
	 */
	List<Waiter> takeWaiters() {
		List<Waiter> taken = List.copyOf(this.waiters);
		this.waiters.clear();
		return taken;
	}

	CompletableFuture<Either<Failure, StoredAnswer>> end() {
		return this.end;
	}

	/**
	 * Prevent the call from running, because {@code not-run} was reported while the claim
	 * was being written.
	 */
	void forbidRun() {
		this.runForbidden = true;
	}

	boolean runForbidden() {
		return this.runForbidden;
	}

	int status() {
		return this.status;
	}

	Optional<StoredAnswer> answer() {
		return Optional.ofNullable(this.answer);
	}

	void answered(int httpStatus) {
		this.phase = Phase.ANSWERED;
		this.status = httpStatus;
	}

	void setAnswer(StoredAnswer stored) {
		this.answer = stored;
	}

	void dropAnswer() {
		this.answer = null;
	}

	/**
	 * State of a key.
	 */
	enum Phase {

		/** A claim waits to be written or is being written. */
		CLAIMING,
		/** The claim is durable and this process did not send the call. */
		UNSENT,
		/** The call was allowed to run. */
		RUNNING,
		/** A refusal waits to be written or is being written. */
		REFUSING,
		/** The key never runs. */
		REFUSED,
		/** The call was answered. */
		ANSWERED,
		/** The call was claimed and may have run. */
		UNKNOWN

	}

	/**
	 * A call that waits for a group write.
	 *
	 * @param call the call
	 * @param sinceNanos when the call began to wait, on the monotonic clock
	 * @param decision the result of a claim, null for a refusal
	 * @param refusal the result of a refusal, null for a claim
	 * @param reason the reason of a refusal, null for a claim
	 */
	record Waiter(KeyedCall call, long sinceNanos, CompletableFuture<Decision> decision,
			CompletableFuture<Failure> refusal, Failure reason) {

		static Waiter claim(KeyedCall call, long sinceNanos, CompletableFuture<Decision> decision) {
			return new Waiter(call, sinceNanos, decision, null, null);
		}

		static Waiter refusal(KeyedCall call, long sinceNanos, CompletableFuture<Failure> refusal, Failure reason) {
			return new Waiter(call, sinceNanos, null, refusal, reason);
		}

		void refuse(Failure failure) {
			if (this.decision != null) {
				this.decision.complete(new Decision.Refuse(failure));
			}
			else {
				this.refusal.complete(this.reason.withOutcome(failure.outcome()));
			}
		}

	}

}

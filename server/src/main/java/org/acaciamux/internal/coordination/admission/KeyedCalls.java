package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims;
import org.acaciamux.internal.coordination.claim.CallDigest;
import org.acaciamux.internal.coordination.claim.PartitionOwners;
import org.acaciamux.internal.coordination.claim.RecordPartitionOwners;
import org.acaciamux.internal.coordination.claim.StoredAnswer;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.Submit;

/**
 * Claims keyed calls and reports how the calls ended. Invariants: a call is started only
 * after {@link CallClaims.Decision.Run}, and each such decision is followed by exactly
 * one report of how the call ended; a refusal that is final goes through
 * {@link CallClaims#refuse}. Thread-safe.
 */
final class KeyedCalls {

	/** Longest answer body in bytes that is stored for attached and repeated calls. */
	static final int MAX_STORED_BYTES = 1024 * 1024;

	private final KnownKeys known = new KnownKeys();

	private final AgentCore core;

	private final Optional<CallClaims> claims;

	private final PartitionOwners owners;

	KeyedCalls(AgentCore core, Optional<CallClaims> claims) {
		this.core = core;
		this.claims = claims;
		this.owners = new RecordPartitionOwners(core.records());
	}

	static CallClaims.KeyedCall call(AgentRequest request) {
		Submit submit = request.submit();
		CallDigest digest = CallDigest.of(submit.getMethod(), submit.getPath(), submit.getBody().toByteArray());
		return new CallClaims.KeyedCall(submit.getPool(), submit.getIdempotencyKey(), digest, submit.getAttempt() == 1);
	}

	/**
	 * Return whether the key of a call was claimed here within the retention. The caller
	 * must hold the lock.
	 * @param request the request
	 * @param retentionMs the retention in milliseconds
	 * @return whether the call will probably attach or replay
	 */
	boolean isKnown(AgentRequest request, long retentionMs) {
		return this.known.contains(request.submit().getIdempotencyKey(), this.core.nowMs(), retentionMs);
	}

	/**
	 * Claim a call. The caller must not hold the lock.
	 * @param request the request
	 * @param onDecision receives the decision
	 */
	void claim(AgentRequest request, Consumer<CallClaims.Decision> onDecision) {
		if (this.claims.isEmpty()) {
			Failure failure = Failure.notRun(FailureCode.CLAIMS_UNAVAILABLE,
					"This agent serves no keyed calls; send them to a pool with repeatable: false", 0);
			onDecision.accept(new CallClaims.Decision.Refuse(failure));
			return;
		}
		this.core.update((effects) -> {
			this.core.traceStep(request, "claiming its key");
			this.known.add(request.submit().getIdempotencyKey(), this.core.nowMs());
		});
		this.claims.get().claim(call(request)).thenAccept(onDecision);
	}

	/**
	 * Refuse a request for good; for a keyed call the refusal is written to its claim.
	 * The caller must hold the lock.
	 * @param request the request
	 * @param refusal why
	 * @param effects receives the write to the claim
	 */
	void refuse(AgentRequest request, Refusal refusal, List<Runnable> effects) {
		if (!request.keyed() || this.claims.isEmpty()) {
			this.core.refuse(request, refusal.withProvableOutcome(request));
			return;
		}
		request.advance(AgentRequest.State.CLAIMING);
		effects.add(() -> this.claims.get()
			.refuse(call(request), refusal.failure())
			.thenAccept((failure) -> this.core
				.update((later) -> this.core.refuse(request, new Refusal(failure, refusal.redirect(), "")))));
	}

	/**
	 * Convert a failure from the claims into the refusal for the router. A call whose key
	 * another agent owns is redirected to that agent.
	 * @param request the request
	 * @param failure why the claims refused it
	 * @return the refusal
	 */
	Refusal refusal(AgentRequest request, Failure failure) {
		if (failure.code() != FailureCode.NOT_OWNER) {
			return Refusal.refuse(failure);
		}
		String owner = this.owners.owner(this.core.pool().spec(), request.submit().getIdempotencyKey()).orElse("");
		return Refusal.redirectTo(owner.equals(this.core.identity().id()) ? "" : owner, failure);
	}

	/**
	 * Report that a call that was allowed to run ended without an answer that can be
	 * stored. The caller must not hold the lock.
	 * @param request the request
	 * @param outcome the outcome
	 */
	void failed(AgentRequest request, Outcome outcome) {
		this.claims.orElseThrow().failed(call(request), outcome);
	}

	/**
	 * Collects the answer to a keyed call. Confined to the thread that reads the
	 * response.
	 */
	final class Collector {

		private final AgentRequest request;

		private int status;

		private List<Header> headers = List.of();

		private ByteString body = ByteString.EMPTY;

		private boolean tooLong;

		Collector(AgentRequest request) {
			this.request = request;
		}

		void head(int status, List<Header> headers) {
			this.status = status;
			this.headers = headers;
		}

		void data(ByteString data) {
			if (!this.request.keyed() || this.tooLong) {
				return;
			}
			this.tooLong = this.body.size() + data.size() > MAX_STORED_BYTES;
			this.body = this.tooLong ? ByteString.EMPTY : this.body.concat(data);
		}

		void end() {
			if (!this.request.keyed()) {
				return;
			}
			if (this.tooLong) {
				failed(this.request, Outcome.UNKNOWN);
				return;
			}
			StoredAnswer answer = new StoredAnswer(this.status, this.headers, this.body);
			KeyedCalls.this.claims.orElseThrow().answered(call(this.request), answer);
		}

	}

}

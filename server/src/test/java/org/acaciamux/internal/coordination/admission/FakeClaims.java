package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.acaciamux.Failure;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims;
import org.acaciamux.internal.coordination.claim.StoredAnswer;

/**
 * Claims that return the decisions set by the test and log their calls. Not thread-safe.
 */
final class FakeClaims implements CallClaims {

	final List<String> log = new ArrayList<>();

	final List<CompletableFuture<Decision>> pending = new ArrayList<>();

	Decision next = new Decision.Run();

	StoredAnswer answer;

	@Override
	public CompletionStage<Decision> claim(KeyedCall call) {
		this.log.add("claim " + call.key());
		if (this.next != null) {
			return CompletableFuture.completedFuture(this.next);
		}
		this.pending.add(new CompletableFuture<>());
		return this.pending.get(this.pending.size() - 1);
	}

	@Override
	public CompletionStage<Failure> refuse(KeyedCall call, Failure reason) {
		this.log.add("refuse " + call.key());
		return CompletableFuture.completedFuture(reason.withOutcome(Outcome.NOT_RUN));
	}

	@Override
	public void answered(KeyedCall call, StoredAnswer answer) {
		this.log.add("answered " + call.key());
		this.answer = answer;
	}

	@Override
	public void failed(KeyedCall call, Outcome outcome) {
		this.log.add("failed " + call.key() + " " + outcome.headerValue());
	}

}

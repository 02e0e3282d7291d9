package org.acaciamux.internal.coordination.routing;

import org.acaciamux.internal.protocol.wire.Cancel;
import org.acaciamux.internal.protocol.wire.Credit;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Resolve;
import org.acaciamux.internal.protocol.wire.Resume;
import org.acaciamux.internal.protocol.wire.Submit;

/**
 * Builds the frames that a router sends for a request. Thread-safe; holds no state.
 */
final class RequestFrames {

	private RequestFrames() {
	}

	static Frame submit(RequestId id, RoutedRequest request, boolean keyed, Trials.PlannedTrial trial, long deadlineMs,
			int attempt, int credit) {
		Submit.Builder submit = Submit.newBuilder()
			.setId(id)
			.setPool(request.pool())
			.setOrganisation(request.organisation())
			.setPriority(request.priority())
			.setDeadlineMs((int) deadlineMs)
			.setChat(request.chat().orElse(""))
			.setAttempt(attempt)
			.setFinalTrial(trial.last())
			.setMethod(request.method())
			.setPath(request.path())
			.addAllHeaders(request.headers())
			.setBody(request.body())
			.setInitialCredit(credit)
			.setKeyed(keyed)
			.setWarm(trial.warm());
		if (keyed) {
			submit.setIdempotencyKey(request.key().orElseThrow());
		}
		return Frame.newBuilder().setSubmit(submit).build();
	}

	static Frame credit(RequestId id, int bytes) {
		return Frame.newBuilder().setCredit(Credit.newBuilder().setId(id).setBytes(bytes)).build();
	}

	static Frame cancel(RequestId id) {
		return Frame.newBuilder().setCancel(Cancel.newBuilder().setId(id)).build();
	}

	static Frame resolve(RequestId id) {
		return Frame.newBuilder().setResolve(Resolve.newBuilder().setId(id)).build();
	}

	static Frame resume(RequestId id, long offset, int credit) {
		return Frame.newBuilder()
			.setResume(Resume.newBuilder().setId(id).setOffset(offset).setInitialCredit(credit))
			.build();
	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims;
import org.acaciamux.internal.coordination.claim.CallDigest;
import org.acaciamux.internal.coordination.claim.StoredAnswer;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.Submit;

/**
 * Runs admitted requests: claims keyed calls, sends requests to the backend server and
 * its responses to the router. Invariants: a keyed call is sent only after
 * {@link CallClaims.Decision.Run}; the place under the load bound is given back when the
 * backend server no longer runs the request. Thread-safe.
 */
final class RequestRunner {

	/** Longest body of a keyed call that is kept for attached and repeated calls. */
	static final int MAX_STORED_BYTES = 1024 * 1024;

	private final AgentCore core;

	private final Backend backend;

	private final Optional<CallClaims> claims;

	RequestRunner(AgentCore core, Backend backend, Optional<CallClaims> claims) {
		this.core = core;
		this.backend = backend;
		this.claims = claims;
	}

	/**
	 * Start an admitted request. Not under the lock.
	 * @param request the request
	 */
	void launch(AgentRequest request) {
		if (!request.keyed()) {
			run(request);
			return;
		}
		if (this.claims.isEmpty()) {
			drop(request, Failure.notRun(FailureCode.CLAIMS_UNAVAILABLE, "This agent serves no keyed calls", 0), false);
			return;
		}
		CallClaims.KeyedCall call = keyedCall(request);
		this.claims.get().claim(call).thenAccept((decision) -> decided(request, decision));
	}

	static CallClaims.KeyedCall keyedCall(AgentRequest request) {
		Submit submit = request.submit();
		CallDigest digest = CallDigest.of(submit.getMethod(), submit.getPath(), submit.getBody().toByteArray());
		return new CallClaims.KeyedCall(submit.getPool(), submit.getIdempotencyKey(), digest, submit.getAttempt() == 1);
	}

	private void decided(AgentRequest request, CallClaims.Decision decision) {
		if (decision instanceof CallClaims.Decision.Run) {
			run(request);
		}
		else if (decision instanceof CallClaims.Decision.Replay replay) {
			deliver(request, replay.answer());
		}
		else if (decision instanceof CallClaims.Decision.Attach attach) {
			attach(request, attach);
		}
		else if (decision instanceof CallClaims.Decision.Refuse refuse) {
			drop(request, refuse.failure(), refuse.failure().code() == FailureCode.NOT_OWNER);
		}
	}

	private void attach(AgentRequest request, CallClaims.Decision.Attach attach) {
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			this.core.release(request, false);
			request.advance(AgentRequest.State.RUNNING);
			this.core.admitQueued(pool, effects);
		});
		attach.end().thenAccept((end) -> {
			end.peek((answer) -> deliver(request, answer));
			end.peekLeft((failure) -> this.core.act((effects) -> this.core.end(request, failure)));
		});
	}

	private void deliver(AgentRequest request, StoredAnswer answer) {
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			this.core.release(request, false);
			request.stream()
				.head(answer.status(), answer.headers(), this.core.identity().id(), this.core.admission().load(), true);
			request.stream().data(answer.body());
			this.core.end(request, null);
			this.core.admitQueued(pool, effects);
		});
	}

	private void drop(AgentRequest request, Failure failure, boolean redirect) {
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			this.core.release(request, false);
			this.core.refuse(request, failure, redirect);
			this.core.admitQueued(pool, effects);
		});
	}

	private void run(AgentRequest request) {
		this.core.act((effects) -> {
			if (request.cancelled()) {
				effects
					.add(() -> drop(request, Failure.notRun(FailureCode.CANCELLED, "The caller went away", 0), false));
				return;
			}
			request.advance(AgentRequest.State.RUNNING);
			request.progress(this.core.nowMs());
			effects.add(() -> start(request));
		});
	}

	private void start(AgentRequest request) {
		Submit submit = request.submit();
		String id = Long.toHexString(submit.getId().getIncarnation()) + "-" + submit.getId().getSequence();
		Backend.BackendRequest message = new Backend.BackendRequest(id, submit.getPriority(), !request.keyed(),
				submit.getMethod(), submit.getPath(), submit.getHeadersList(), submit.getBody());
		Backend.Call call = this.backend.start(message, new Response(request));
		this.core.act((effects) -> request.started(call));
	}

	/**
	 * Passes a response of the backend server on.
	 */
	private final class Response implements Backend.Listener {

		private final AgentRequest request;

		private int status;

		private List<Header> headers = List.of();

		private ByteString body = ByteString.EMPTY;

		private boolean tooLong;

		private Response(AgentRequest request) {
			this.request = request;
		}

		@Override
		public void head(int status, List<Header> headers) {
			this.status = status;
			this.headers = headers;
			AgentCore core = RequestRunner.this.core;
			core.act((effects) -> {
				this.request.progress(core.nowMs());
				this.request.stream().head(status, headers, core.identity().id(), core.admission().load(), false);
			});
		}

		@Override
		public void data(ByteString data) {
			collect(data);
			AgentCore core = RequestRunner.this.core;
			core.act((effects) -> {
				this.request.progress(core.nowMs());
				if (this.request.state() == AgentRequest.State.RUNNING) {
					this.request.stream().data(data);
					this.request.regulate();
				}
			});
		}

		private void collect(ByteString data) {
			if (!this.request.keyed() || this.tooLong) {
				return;
			}
			this.tooLong = this.body.size() + data.size() > MAX_STORED_BYTES;
			this.body = this.tooLong ? ByteString.EMPTY : this.body.concat(data);
		}

		@Override
		public void end() {
			finish(true, null);
			if (this.request.keyed()) {
				tellAnswer();
			}
		}

		private void tellAnswer() {
			CallClaims.KeyedCall call = keyedCall(this.request);
			CallClaims ledger = RequestRunner.this.claims.orElseThrow();
			if (this.tooLong) {
				ledger.failed(call, Outcome.UNKNOWN);
				return;
			}
			ledger.answered(call, new StoredAnswer(this.status, this.headers, this.body));
		}

		@Override
		public void failed(Backend.Break cause, String detail) {
			boolean notSent = cause == Backend.Break.NOT_SENT;
			if (this.request.keyed()) {
				Outcome outcome = notSent ? Outcome.NOT_RUN : Outcome.UNKNOWN;
				RequestRunner.this.claims.orElseThrow().failed(keyedCall(this.request), outcome);
			}
			if (notSent) {
				drop(this.request, notSentFailure(detail), !this.request.keyed());
				return;
			}
			FailureCode code = (cause == Backend.Break.CANCELLED) ? FailureCode.CANCELLED : FailureCode.BACKEND_FAILED;
			finish(false, Failure.unknown(code, detail, 0));
		}

		private Failure notSentFailure(String detail) {
			Failure failure = Failure.notRun(FailureCode.BACKEND_DOWN, detail, 1_000);
			boolean proved = !this.request.keyed() || this.request.submit().getAttempt() == 1;
			return proved ? failure : failure.withOutcome(Outcome.UNKNOWN);
		}

		private void finish(boolean served, Failure failure) {
			AgentCore core = RequestRunner.this.core;
			AgentCore.PoolNow pool = core.pool();
			core.act((effects) -> {
				core.release(this.request, served);
				core.end(this.request, failure);
				core.settle(this.request);
				core.admitQueued(pool, effects);
			});
		}

	}

}

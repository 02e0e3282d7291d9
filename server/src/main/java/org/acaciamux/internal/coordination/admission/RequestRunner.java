package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims;
import org.acaciamux.internal.coordination.claim.StoredAnswer;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.Submit;

/**
 * Runs requests: checks them against the suspects and the claims, sends them to the
 * backend server and forwards the responses to the router. Invariants: a request is sent
 * at most once, and only while it holds an admission slot; the slot is released when the
 * backend server no longer runs the request. Thread-safe.
 */
final class RequestRunner {

	private static final long DOWN_RETRY_MS = 1_000;

	private static final int FIRST_SERVER_ERROR = 500;

	private final AgentCore core;

	private final Backend backend;

	private final KeyedCalls keyedCalls;

	private final SuspectGate suspectGate;

	private final BackendMonitor monitor;

	private final ChatHandover handover;

	RequestRunner(AgentCore core, Backend backend, KeyedCalls keyedCalls, SuspectGate suspectGate,
			BackendMonitor monitor, ChatHandover handover) {
		this.core = core;
		this.backend = backend;
		this.keyedCalls = keyedCalls;
		this.suspectGate = suspectGate;
		this.monitor = monitor;
		this.handover = handover;
	}

	/**
	 * Start a request. The caller must not hold the lock.
	 * @param request the request
	 */
	void launch(AgentRequest request) {
		Optional<Refusal> refusal = this.suspectGate.enter(request, this.core.pool());
		if (refusal.isPresent()) {
			refuse(request, refusal.get().withProvableOutcome(request));
		}
		else if (request.keyed()) {
			this.keyedCalls.claim(request, (decision) -> handleDecision(request, decision));
		}
		else {
			run(request);
		}
	}

	private void handleDecision(AgentRequest request, CallClaims.Decision decision) {
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
			refuse(request, this.keyedCalls.refusal(request, refuse.failure()));
		}
	}

	private void attach(AgentRequest request, CallClaims.Decision.Attach attach) {
		AgentCore.PoolSnapshot pool = this.core.pool();
		this.core.update((effects) -> {
			release(request, pool, effects);
			if (!request.isFinal()) {
				request.advance(AgentRequest.State.RUNNING);
				this.core.traceStep(request, "attached to the running call");
			}
		});
		attach.end().thenAccept((end) -> {
			end.peek((answer) -> deliver(request, answer));
			end.peekLeft((failure) -> this.core.update((effects) -> this.core.end(request, failure)));
		});
	}

	private void deliver(AgentRequest request, StoredAnswer answer) {
		AgentCore.PoolSnapshot pool = this.core.pool();
		this.core.update((effects) -> {
			release(request, pool, effects);
			if (!request.isFinal()) {
				request.stream()
					.head(answer.status(), answer.headers(), this.core.identity().id(), this.core.admission().load(),
							true);
				request.stream().data(answer.body());
				this.core.end(request, null);
			}
		});
	}

	private void refuse(AgentRequest request, Refusal refusal) {
		AgentCore.PoolSnapshot pool = this.core.pool();
		this.core.update((effects) -> {
			release(request, pool, effects);
			this.core.refuse(request, refusal);
		});
	}

	private void release(AgentRequest request, AgentCore.PoolSnapshot pool, List<Runnable> effects) {
		this.core.release(request, false);
		effects.add(() -> this.suspectGate.leave(request));
		this.core.admitQueued(pool, effects);
	}

	private void run(AgentRequest request) {
		AgentCore.PoolSnapshot pool = this.core.pool();
		this.core.update((effects) -> {
			Optional<Refusal> refusal = refusalBeforeSending(request, pool);
			if (refusal.isPresent()) {
				effects.add(() -> refuseUnsent(request, refusal.get()));
				return;
			}
			request.advance(AgentRequest.State.RUNNING);
			request.recordProgress(this.core.nowMs());
			this.core.traceStep(request, "sent to the backend server");
			effects.add(() -> send(request));
		});
	}

	private Optional<Refusal> refusalBeforeSending(AgentRequest request, AgentCore.PoolSnapshot pool) {
		if (request.cancelled()) {
			return Optional.of(Refusal.cancelled());
		}
		if (request.deadlineMs() <= this.core.nowMs()) {
			return Optional.of(Refusal.refuse(Failure.notRun(FailureCode.DEADLINE_EXCEEDED,
					"The deadline passed before the request was sent", 0)));
		}
		if (request.admitted()) {
			return Optional.empty();
		}
		// This call was started without an admission slot because its key was known
		// here. The claims decided that it has to run, so it needs a slot now.
		AdmissionControl.Verdict verdict = this.core.admission()
			.offer(request, pool.spec(), pool.load(), true, this.core.nowMs());
		request.admitted(verdict.decision() == AdmissionControl.Decision.ADMIT);
		return Optional.ofNullable(verdict.failure()).map(Refusal::refuse);
	}

	private void refuseUnsent(AgentRequest request, Refusal refusal) {
		if (request.keyed()) {
			this.keyedCalls.failed(request, Outcome.NOT_RUN);
		}
		refuse(request, refusal.withProvableOutcome(request));
	}

	private void send(AgentRequest request) {
		Submit submit = request.submit();
		Backend.BackendRequest message = new Backend.BackendRequest(RequestTrace.name(submit.getId()),
				submit.getPriority(), !request.keyed(), submit.getMethod(), submit.getPath(), submit.getHeadersList(),
				submit.getBody());
		Backend.Call call = this.backend.start(message, new Response(request));
		this.core.update((effects) -> request.callStarted(call, effects));
	}

	/**
	 * Forwards a response of the backend server to the router. Invariant: one whose end
	 * is not marked by a length or chunks is complete only if its server lives. Confined
	 * to the thread that reads it, and after its end to the one that completes a probe.
	 */
	private final class Response implements Backend.Listener {

		private final AgentRequest request;

		private final KeyedCalls.Collector collector;

		private final AgentCore core = RequestRunner.this.core;

		private int status;

		private boolean endMarked = true;

		private Response(AgentRequest request) {
			this.request = request;
			this.collector = RequestRunner.this.keyedCalls.new Collector(request);
		}

		@Override
		public void head(int status, List<Header> headers) {
			this.status = status;
			this.collector.head(status, headers);
			this.core.update((effects) -> {
				this.request.recordProgress(this.core.nowMs());
				if (!this.request.isFinal()) {
					this.core.traceStep(this.request, "status " + status);
					this.core.metrics()
						.time(AgentMetrics.Name.FIRST_BYTE, this.core.nowMs() - this.request.arrivedMs());
					this.request.stream()
						.head(status, headers, this.core.identity().id(), this.core.admission().load(), false);
				}
			});
		}

		@Override
		public void data(ByteString data) {
			this.collector.data(data);
			this.core.update((effects) -> {
				this.request.recordProgress(this.core.nowMs());
				if (!this.request.isFinal()) {
					this.request.stream().data(data);
					this.request.applyBackpressure(this.core.nowMs());
				}
			});
		}

		@Override
		public void endsWithConnection() {
			this.endMarked = false;
		}

		@Override
		public void end() {
			if (this.endMarked) {
				complete();
				return;
			}
			RequestRunner.this.monitor.checkLife((lives) -> {
				if (lives) {
					complete();
				}
				else {
					failed(Backend.Break.BROKEN_OFF, "The backend server crashed as the response ended");
				}
			});
		}

		private void complete() {
			this.collector.end();
			// A failure does not prove that the server ran the request to its end.
			if (this.status < FIRST_SERVER_ERROR) {
				RequestRunner.this.suspectGate.completed(this.request);
			}
			RequestRunner.this.handover.requestCompleted(this.request.submit().getChat());
			AgentCore.PoolSnapshot pool = this.core.pool();
			this.core.update((effects) -> {
				this.core.release(this.request, true);
				finish(null, pool, effects);
			});
		}

		@Override
		public void failed(Backend.Break cause, String detail) {
			if (this.request.keyed()) {
				RequestRunner.this.keyedCalls.failed(this.request,
						cause.provesNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN);
			}
			switch (cause) {
				case NOT_SENT, NOT_CONNECTED -> notSent(detail);
				case BROKEN_OFF -> brokenOff(detail);
				case CANCELLED -> cancelled(detail);
			}
		}

		private void notSent(String detail) {
			RequestRunner.this.monitor.refused(this.request);
			if (this.request.keyed()) {
				// The claim now records that the key never runs, so a redirect to
				// another server would not help.
				Failure failure = Failure.notRun(FailureCode.BACKEND_DOWN, detail + "; send it with a new key",
						DOWN_RETRY_MS);
				refuse(this.request, Refusal.refuse(failure).withProvableOutcome(this.request));
				return;
			}
			refuse(this.request, Refusal.redirect(Failure.notRun(FailureCode.BACKEND_DOWN, detail, DOWN_RETRY_MS)));
		}

		private void brokenOff(String detail) {
			EventLog.log(AgentEvent.RESPONSE_BROKEN_OFF, RequestTrace.name(this.request.id()),
					this.request.stream().length(), detail);
			RequestRunner.this.monitor.brokeOff(this.request);
			AgentCore.PoolSnapshot pool = this.core.pool();
			this.core.update((effects) -> {
				this.core.release(this.request, false);
				finish(Failure.unknown(FailureCode.BACKEND_FAILED, detail, 0), pool, effects);
			});
		}

		private void cancelled(String detail) {
			AgentCore.PoolSnapshot pool = this.core.pool();
			this.core.update((effects) -> {
				this.core.release(this.request, false);
				finish(Failure.unknown(FailureCode.CANCELLED, detail, 0), pool, effects);
			});
		}

		private void finish(Failure failure, AgentCore.PoolSnapshot pool, List<Runnable> effects) {
			this.core.end(this.request, failure);
			this.core.retainIfFinished(this.request);
			effects.add(() -> RequestRunner.this.suspectGate.leave(this.request));
			this.core.admitQueued(pool, effects);
		}

	}

}

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
 * Runs requests: passes them by the suspects and the claims, sends them to the backend
 * server and its responses to the router. Invariants: a request is sent at most once, and
 * only while it holds a place under the load bound; the place is given back when the
 * backend server no longer runs the request. Thread-safe.
 */
final class RequestRunner {

	private static final long DOWN_RETRY_MS = 1_000;

	private final AgentCore core;

	private final Backend backend;

	private final KeyedCalls keyed;

	private final SuspectGate suspects;

	private final BackendMonitor monitor;

	private final ChatHandover handover;

	RequestRunner(AgentCore core, Backend backend, KeyedCalls keyed, SuspectGate suspects, BackendMonitor monitor,
			ChatHandover handover) {
		this.core = core;
		this.backend = backend;
		this.keyed = keyed;
		this.suspects = suspects;
		this.monitor = monitor;
		this.handover = handover;
	}

	/**
	 * Start a request. Not under the lock.
	 * @param request the request
	 */
	void launch(AgentRequest request) {
		Optional<Refusal> refusal = this.suspects.enter(request, this.core.pool());
		if (refusal.isPresent()) {
			drop(request, refusal.get().provedFor(request));
		}
		else if (request.keyed()) {
			this.keyed.claim(request, (decision) -> decided(request, decision));
		}
		else {
			run(request);
		}
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
			drop(request, this.keyed.refusal(request, refuse.failure()));
		}
	}

	private void attach(AgentRequest request, CallClaims.Decision.Attach attach) {
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			leave(request, pool, effects);
			if (!request.isOver()) {
				request.advance(AgentRequest.State.RUNNING);
				this.core.step(request, "attached to the running call");
			}
		});
		attach.end().thenAccept((end) -> {
			end.peek((answer) -> deliver(request, answer));
			end.peekLeft((failure) -> this.core.act((effects) -> this.core.end(request, failure)));
		});
	}

	private void deliver(AgentRequest request, StoredAnswer answer) {
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			leave(request, pool, effects);
			if (!request.isOver()) {
				request.stream()
					.head(answer.status(), answer.headers(), this.core.identity().id(), this.core.admission().load(),
							true);
				request.stream().data(answer.body());
				this.core.end(request, null);
			}
		});
	}

	private void drop(AgentRequest request, Refusal refusal) {
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			leave(request, pool, effects);
			this.core.refuse(request, refusal);
		});
	}

	private void leave(AgentRequest request, AgentCore.PoolNow pool, List<Runnable> effects) {
		this.core.release(request, false);
		effects.add(() -> this.suspects.leave(request));
		this.core.admitQueued(pool, effects);
	}

	private void run(AgentRequest request) {
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			Optional<Refusal> obstacle = obstacle(request, pool);
			if (obstacle.isPresent()) {
				effects.add(() -> giveBack(request, obstacle.get()));
				return;
			}
			request.advance(AgentRequest.State.RUNNING);
			request.progress(this.core.nowMs());
			this.core.step(request, "sent to the backend server");
			effects.add(() -> start(request));
		});
	}

	private Optional<Refusal> obstacle(AgentRequest request, AgentCore.PoolNow pool) {
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
		// A repeated key that was expected to attach or replay, but has to run after all.
		AdmissionControl.Verdict verdict = this.core.admission()
			.offer(request, pool.spec(), pool.load(), true, this.core.nowMs());
		request.admitted(verdict.decision() == AdmissionControl.Decision.ADMIT);
		return Optional.ofNullable(verdict.failure()).map(Refusal::refuse);
	}

	private void giveBack(AgentRequest request, Refusal refusal) {
		if (request.keyed()) {
			this.keyed.failed(request, Outcome.NOT_RUN);
		}
		drop(request, refusal.provedFor(request));
	}

	private void start(AgentRequest request) {
		Submit submit = request.submit();
		Backend.BackendRequest message = new Backend.BackendRequest(RequestTrace.name(submit.getId()),
				submit.getPriority(), !request.keyed(), submit.getMethod(), submit.getPath(), submit.getHeadersList(),
				submit.getBody());
		Backend.Call call = this.backend.start(message, new Response(request));
		this.core.act((effects) -> request.started(call, effects));
	}

	/**
	 * Passes a response of the backend server on. Confined to the thread that reads it.
	 */
	private final class Response implements Backend.Listener {

		private final AgentRequest request;

		private final KeyedCalls.Collector collector;

		private final AgentCore core = RequestRunner.this.core;

		private Response(AgentRequest request) {
			this.request = request;
			this.collector = RequestRunner.this.keyed.new Collector(request);
		}

		@Override
		public void head(int status, List<Header> headers) {
			this.collector.head(status, headers);
			this.core.act((effects) -> {
				this.request.progress(this.core.nowMs());
				if (!this.request.isOver()) {
					this.core.step(this.request, "status " + status);
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
			this.core.act((effects) -> {
				this.request.progress(this.core.nowMs());
				if (!this.request.isOver()) {
					this.request.stream().data(data);
					this.request.regulate();
				}
			});
		}

		@Override
		public void end() {
			this.collector.end();
			RequestRunner.this.suspects.completed(this.request);
			RequestRunner.this.handover.served(this.request.submit().getChat());
			AgentCore.PoolNow pool = this.core.pool();
			this.core.act((effects) -> {
				this.core.release(this.request, true);
				over(null, pool, effects);
			});
		}

		@Override
		public void failed(Backend.Break cause, String detail) {
			if (this.request.keyed()) {
				boolean notSent = cause == Backend.Break.NOT_SENT;
				RequestRunner.this.keyed.failed(this.request, notSent ? Outcome.NOT_RUN : Outcome.UNKNOWN);
			}
			switch (cause) {
				case NOT_SENT -> notSent(detail);
				case BROKEN_OFF -> brokenOff(detail);
				case CANCELLED -> cancelled(detail);
			}
		}

		private void notSent(String detail) {
			RequestRunner.this.monitor.refused(this.request);
			if (this.request.keyed()) {
				// The claim now says that the key never runs, so no other server can take
				// it.
				Failure failure = Failure.notRun(FailureCode.BACKEND_DOWN, detail + "; send it with a new key",
						DOWN_RETRY_MS);
				drop(this.request, Refusal.refuse(failure).provedFor(this.request));
				return;
			}
			drop(this.request, Refusal.redirect(Failure.notRun(FailureCode.BACKEND_DOWN, detail, DOWN_RETRY_MS)));
		}

		private void brokenOff(String detail) {
			EventLog.log(AgentEvent.RESPONSE_BROKEN_OFF, RequestTrace.name(this.request.id()),
					this.request.stream().length(), detail);
			RequestRunner.this.monitor.brokeOff(this.request);
			AgentCore.PoolNow pool = this.core.pool();
			this.core.act((effects) -> {
				this.core.release(this.request, false);
				over(Failure.unknown(FailureCode.BACKEND_FAILED, detail, 0), pool, effects);
			});
		}

		private void cancelled(String detail) {
			AgentCore.PoolNow pool = this.core.pool();
			this.core.act((effects) -> {
				this.core.release(this.request, false);
				over(Failure.unknown(FailureCode.CANCELLED, detail, 0), pool, effects);
			});
		}

		private void over(Failure failure, AgentCore.PoolNow pool, List<Runnable> effects) {
			this.core.end(this.request, failure);
			this.core.settle(this.request);
			effects.add(() -> RequestRunner.this.suspects.leave(this.request));
			this.core.admitQueued(pool, effects);
		}

	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.event.EventLog;

/**
 * The periodic work of an agent: deadlines, queue waits, responses without progress,
 * requests that no router asks for. Invariant: a request that the agent gives up gets its
 * final answer in the same pass. Thread-safe; the place under the load bound of a
 * cancelled request is given back when the backend server confirms.
 */
final class AgentSweep {

	/** How long repeatable work runs on without a connection to its router. */
	static final long DETACHED_LIMIT_MS = 10_000;

	private final AgentCore core;

	private final KeyedCalls keyed;

	AgentSweep(AgentCore core, KeyedCalls keyed) {
		this.core = core;
		this.keyed = keyed;
	}

	void run(AgentCore.PoolNow pool) {
		this.core.act((effects) -> {
			expireQueued(pool, effects);
			dropDetachedQueued();
			this.core.table().started().forEach((request) -> check(request, pool, effects));
			this.core.table().expire(this.core.nowMs());
			this.core.admitQueued(pool, effects);
		});
	}

	private void expireQueued(AgentCore.PoolNow pool, List<Runnable> effects) {
		long nowMs = this.core.nowMs();
		for (AgentRequest request : this.core.admission().expire(pool.spec(), nowMs)) {
			this.keyed.refuse(request, Refusal.refuse(expired(request, nowMs)), effects);
		}
	}

	private Failure expired(AgentRequest request, long nowMs) {
		if (request.deadlineMs() <= nowMs) {
			return Failure.notRun(FailureCode.DEADLINE_EXCEEDED,
					"The deadline passed after " + (nowMs - request.arrivedMs()) + " ms in the queue", 0);
		}
		return Failure.notRun(FailureCode.QUEUE_FULL, "The request waited for its turn for "
				+ (nowMs - request.arrivedMs()) + " ms, the longest wait allowed",
				this.core.admission().retryAfterMs(nowMs));
	}

	private void dropDetachedQueued() {
		for (AgentRequest request : this.core.admission().queue().matching(this::isAbandoned)) {
			this.core.admission().remove(request);
			this.core.refuse(request, Refusal.cancelled().provedFor(request));
		}
	}

	private boolean isAbandoned(AgentRequest request) {
		return request.detachedMs() >= 0 && this.core.nowMs() - request.detachedMs() >= DETACHED_LIMIT_MS;
	}

	private void check(AgentRequest request, AgentCore.PoolNow pool, List<Runnable> effects) {
		request.stream().pump();
		request.regulate();
		this.core.settle(request);
		if (request.isOver()) {
			limitUnread(request);
		}
		else if (request.state() == AgentRequest.State.RUNNING) {
			limitRunning(request, pool, effects);
		}
	}

	private void limitUnread(AgentRequest request) {
		boolean unread = !request.admitted() && !request.stream().endSent();
		if (unread && request.deadlineMs() <= this.core.nowMs()) {
			request.stream()
				.abort(new Failure(FailureCode.DEADLINE_EXCEEDED, Outcome.ANSWERED,
						"The caller did not read the response before the deadline", 0), this.core.admission().load());
			this.core.settle(request);
		}
	}

	private void limitRunning(AgentRequest request, AgentCore.PoolNow pool, List<Runnable> effects) {
		if (!request.keyed() && isAbandoned(request)) {
			abandon(request, effects);
		}
		else if (request.deadlineMs() <= this.core.nowMs()) {
			passDeadline(request, effects);
		}
		else if (isStuck(request, pool)) {
			stop(request, pool, effects);
		}
	}

	private void abandon(AgentRequest request, List<Runnable> effects) {
		EventLog.log(AgentEvent.ABANDONED, RequestTrace.name(request.id()), DETACHED_LIMIT_MS);
		request.cancel(effects);
		this.core.abort(request, Failure.unknown(FailureCode.CANCELLED, "No router asked for the response", 0));
	}

	private void passDeadline(AgentRequest request, List<Runnable> effects) {
		long ranMs = this.core.nowMs() - request.arrivedMs();
		if (!request.keyed()) {
			EventLog.log(AgentEvent.DEADLINE_EXCEEDED, RequestTrace.name(request.id()), ranMs);
			request.cancel(effects);
		}
		this.core.abort(request, Failure.unknown(FailureCode.DEADLINE_EXCEEDED,
				"The response was not complete at the deadline, after " + ranMs + " ms", 0));
	}

	private boolean isStuck(AgentRequest request, AgentCore.PoolNow pool) {
		long pauseMs = this.core.nowMs() - request.progressMs();
		return request.admitted() && !request.paused() && pauseMs > pool.spec().progressTimeoutMs();
	}

	private void stop(AgentRequest request, AgentCore.PoolNow pool, List<Runnable> effects) {
		EventLog.log(AgentEvent.NO_PROGRESS, RequestTrace.name(request.id()), pool.spec().progressTimeoutMs());
		request.cancel(effects);
		this.core.abort(request, Failure.unknown(FailureCode.NO_PROGRESS,
				"The backend server sent nothing for " + pool.spec().progressTimeoutMs() + " ms", 0));
	}

}

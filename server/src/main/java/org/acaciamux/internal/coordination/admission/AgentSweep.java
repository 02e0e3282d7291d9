package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.event.EventLog;

/**
 * Periodically applies the timeouts of an agent: deadlines, queue waits, responses
 * without progress, and requests without a link to a router. Invariants: a request that
 * times out gets its final answer in the same pass, or, if it is a queued keyed call,
 * once the refusal was written to its claim; the admission slot of a cancelled request is
 * released only when the backend server confirms that it no longer runs the request.
 * Thread-safe.
 */
final class AgentSweep {

	/**
	 * How long a queued request, or a running one without a key, is kept without a link
	 * to its router, in milliseconds.
	 */
	static final long DETACHED_LIMIT_MS = 10_000;

	private final AgentCore core;

	private final KeyedCalls keyedCalls;

	AgentSweep(AgentCore core, KeyedCalls keyedCalls) {
		this.core = core;
		this.keyedCalls = keyedCalls;
	}

	void run(AgentCore.PoolSnapshot pool) {
		this.core.update((effects) -> {
			expireQueued(pool, effects);
			refuseDetachedQueued();
			this.core.table().started().forEach((request) -> check(request, effects));
			this.core.table().expire(this.core.nowMs());
			this.core.admitQueued(pool, effects);
		});
	}

	private void expireQueued(AgentCore.PoolSnapshot pool, List<Runnable> effects) {
		long nowMs = this.core.nowMs();
		for (AgentRequest request : this.core.admission().expire(pool.spec(), nowMs)) {
			this.keyedCalls.refuse(request, Refusal.refuse(expiryFailure(request, nowMs)), effects);
		}
	}

	private Failure expiryFailure(AgentRequest request, long nowMs) {
		if (request.deadlineMs() <= nowMs) {
			return Failure.notRun(FailureCode.DEADLINE_EXCEEDED,
					"The deadline passed after " + (nowMs - request.arrivedMs()) + " ms in the queue", 0);
		}
		return Failure.notRun(FailureCode.QUEUE_FULL, "The request waited for its turn for "
				+ (nowMs - request.arrivedMs()) + " ms, the longest wait allowed",
				this.core.admission().retryAfterMs(nowMs));
	}

	private void refuseDetachedQueued() {
		for (AgentRequest request : this.core.admission().queue().matching(this::isDetachedTooLong)) {
			this.core.admission().remove(request);
			this.core.refuse(request, Refusal.cancelled().withProvableOutcome(request));
		}
	}

	private boolean isDetachedTooLong(AgentRequest request) {
		return request.detachedMs() >= 0 && this.core.nowMs() - request.detachedMs() >= DETACHED_LIMIT_MS;
	}

	private void check(AgentRequest request, List<Runnable> effects) {
		request.stream().pump();
		request.applyBackpressure(this.core.nowMs());
		this.core.retainIfFinished(request);
		if (request.isFinal()) {
			abortUnread(request);
		}
		else if (request.state() == AgentRequest.State.RUNNING) {
			checkLimits(request, effects);
		}
	}

	private void abortUnread(AgentRequest request) {
		boolean unread = !request.admitted() && !request.stream().endSent();
		if (unread && request.deadlineMs() <= this.core.nowMs()) {
			request.stream()
				.abort(new Failure(FailureCode.DEADLINE_EXCEEDED, Outcome.ANSWERED,
						"The caller did not read the response before the deadline", 0), this.core.admission().load());
			this.core.retainIfFinished(request);
		}
	}

	private void checkLimits(AgentRequest request, List<Runnable> effects) {
		if (!request.keyed() && isDetachedTooLong(request)) {
			cancelDetached(request, effects);
		}
		else if (request.deadlineMs() <= this.core.nowMs()) {
			endAtDeadline(request, effects);
		}
		else if (isStuck(request)) {
			cancelStuck(request, effects);
		}
	}

	private void cancelDetached(AgentRequest request, List<Runnable> effects) {
		EventLog.log(AgentEvent.ABANDONED, RequestTrace.name(request.id()), DETACHED_LIMIT_MS);
		request.cancel(effects);
		this.core.abort(request, Failure.unknown(FailureCode.CANCELLED, "No router asked for the response", 0));
	}

	private void endAtDeadline(AgentRequest request, List<Runnable> effects) {
		long ranMs = this.core.nowMs() - request.arrivedMs();
		if (!request.keyed()) {
			EventLog.log(AgentEvent.DEADLINE_EXCEEDED, RequestTrace.name(request.id()), ranMs);
			request.cancel(effects);
		}
		this.core.abort(request, Failure.unknown(FailureCode.DEADLINE_EXCEEDED,
				"The response was not complete at the deadline, after " + ranMs + " ms", 0));
	}

	private boolean isStuck(AgentRequest request) {
		long silentMs = this.core.nowMs() - request.lastProgressMs();
		return request.admitted() && !request.paused() && silentMs > request.progressTimeoutMs();
	}

	private void cancelStuck(AgentRequest request, List<Runnable> effects) {
		EventLog.log(AgentEvent.NO_PROGRESS, RequestTrace.name(request.id()), request.progressTimeoutMs());
		request.cancel(effects);
		this.core.abort(request, Failure.unknown(FailureCode.NO_PROGRESS,
				"The backend server sent nothing for " + request.progressTimeoutMs() + " ms", 0));
	}

}

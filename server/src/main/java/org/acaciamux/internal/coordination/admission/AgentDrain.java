package org.acaciamux.internal.coordination.admission;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.event.EventLog;

/**
 * Drains an agent: refuses new work, finishes accepted work, and hands the chat caches
 * over to other agents. Invariant: a drain never interrupts work that runs; queued work
 * is refused only if the process ends before its turn. Thread-safe.
 */
final class AgentDrain {

	/**
	 * How long the handover may go on after the last response was sent, in milliseconds.
	 */
	static final long HANDOVER_LIMIT_MS = 20_000;

	private static final long LOG_PERIOD_MS = 5_000;

	private final AgentCore core;

	private final ChatHandover handover;

	private long startedMs;

	private long loggedMs;

	private long idleSinceMs = -1;

	private boolean doneLogged;

	AgentDrain(AgentCore core, ChatHandover handover) {
		this.core = core;
		this.handover = handover;
	}

	void begin() {
		this.core.update((effects) -> {
			if (this.core.admission().draining()) {
				return;
			}
			this.core.admission().drain();
			this.startedMs = this.core.nowMs();
			this.loggedMs = this.startedMs;
			EventLog.log(AgentEvent.DRAIN_STARTED, this.core.admission().load(), this.core.admission().queue().size());
			effects.add(this.handover::start);
		});
	}

	void refuseQueued() {
		this.core.update((effects) -> {
			Failure failure = Failure.notRun(FailureCode.DRAINING,
					"The agent ends before the request's turn; send the request to another server",
					this.core.admission().retryAfterMs(this.core.nowMs()));
			this.core.admission()
				.clearQueue()
				.forEach(
						(request) -> this.core.refuse(request, Refusal.redirect(failure).withProvableOutcome(request)));
		});
	}

	void tick() {
		int transfers = this.handover.pending();
		this.core.update((effects) -> {
			DrainProgress progress = progress(transfers);
			if (!progress.draining() || this.doneLogged) {
				return;
			}
			limitHandover(progress);
			log(progress);
		});
	}

	private void limitHandover(DrainProgress progress) {
		boolean idle = progress.running() == 0 && progress.queued() == 0 && progress.unsent() == 0;
		long nowMs = this.core.nowMs();
		if (!idle) {
			this.idleSinceMs = -1;
		}
		else if (this.idleSinceMs < 0) {
			this.idleSinceMs = nowMs;
		}
		else if (nowMs - this.idleSinceMs > HANDOVER_LIMIT_MS) {
			this.handover.cancelWaiting();
		}
	}

	private void log(DrainProgress progress) {
		long nowMs = this.core.nowMs();
		if (progress.done()) {
			this.doneLogged = true;
			EventLog.log(AgentEvent.DRAIN_DONE, nowMs - this.startedMs);
		}
		else if (nowMs - this.loggedMs >= LOG_PERIOD_MS) {
			this.loggedMs = nowMs;
			EventLog.log(AgentEvent.DRAIN_WAITING, progress.running(), progress.queued(), progress.transfers(),
					progress.oldestMs());
		}
	}

	DrainProgress progress() {
		int transfers = this.handover.pending();
		return this.core.read(() -> progress(transfers));
	}

	private DrainProgress progress(int transfers) {
		int running = this.core.admission().load();
		int queued = this.core.admission().queue().size();
		int unsent = this.core.table().unfinished();
		boolean draining = this.core.admission().draining();
		long idleMs = (this.idleSinceMs >= 0) ? this.core.nowMs() - this.idleSinceMs : 0;
		boolean handedOver = transfers == 0 || idleMs > HANDOVER_LIMIT_MS;
		boolean done = draining && running == 0 && queued == 0 && unsent == 0 && handedOver;
		return new DrainProgress(draining, done, running, queued, unsent, transfers,
				this.core.table().oldestMs(this.core.nowMs()));
	}

}

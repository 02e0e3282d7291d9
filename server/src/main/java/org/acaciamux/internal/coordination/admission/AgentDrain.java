package org.acaciamux.internal.coordination.admission;

import org.acaciamux.internal.event.EventLog;

/**
 * The drain of an agent: new work is refused, accepted work is finished, and caches are
 * handed over. Invariant: nothing that was accepted before the drain is cut off by it.
 * Thread-safe.
 */
final class AgentDrain {

	/** How long caches may be handed over after the last request has ended. */
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
		this.core.act((effects) -> {
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

	void tick() {
		int transfers = this.handover.pending();
		this.core.act((effects) -> {
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
			this.handover.abandon();
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
		return this.core.get(() -> progress(transfers));
	}

	private DrainProgress progress(int transfers) {
		int running = this.core.admission().load();
		int queued = this.core.admission().queue().size();
		int unsent = this.core.table().unfinished();
		boolean draining = this.core.admission().draining();
		long overdueMs = (this.idleSinceMs >= 0) ? this.core.nowMs() - this.idleSinceMs : 0;
		boolean handedOver = transfers == 0 || overdueMs > HANDOVER_LIMIT_MS;
		boolean done = draining && running == 0 && queued == 0 && unsent == 0 && handedOver;
		return new DrainProgress(draining, done, running, queued, unsent, transfers,
				this.core.table().oldestMs(this.core.nowMs()));
	}

}

package org.acaciamux.internal.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import org.acaciamux.internal.coordination.direct.ReportedLoad;

/**
 * A simulated server of a plain service: each slot processes one request, independent of
 * the others. Invariant: at most {@code slots} requests run. Used by one thread.
 */
final class PlainServerModel implements SimulatedServer {

	private final Set<EngineRun> running = new HashSet<>();

	private final Deque<EngineRun> queue = new ArrayDeque<>();

	private final ExperimentFleet fleet;

	private final ServerNoise noise;

	private final Timeline timeline;

	PlainServerModel(ExperimentFleet fleet, ServerNoise noise, Timeline timeline) {
		this.fleet = fleet;
		this.noise = noise;
		this.timeline = timeline;
	}

	@Override
	public void accept(EngineRun run) {
		this.queue.add(run);
		fillSlots();
	}

	@Override
	public void cancel(EngineRun run) {
		this.queue.remove(run);
		this.running.remove(run);
		fillSlots();
	}

	@Override
	public ReportedLoad load() {
		return new ReportedLoad(this.running.size(), this.queue.size(), this.fleet.slots(),
				this.noise.percent(this.timeline.ms()));
	}

	private void fillSlots() {
		while (!this.queue.isEmpty() && this.running.size() < this.fleet.slots()) {
			EngineRun run = this.queue.poll();
			this.running.add(run);
			double now = this.timeline.ms();
			this.timeline.after(this.noise.endMs(now, this.fleet.workMs()) - now, () -> end(run));
		}
	}

	private void end(EngineRun run) {
		if (this.running.remove(run)) {
			run.listener.firstToken();
			run.listener.ended();
			fillSlots();
		}
	}

}

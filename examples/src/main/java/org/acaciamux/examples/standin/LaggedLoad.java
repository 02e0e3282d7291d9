package org.acaciamux.examples.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reports the load of the engine stand-in as it was a fixed time ago, so that callers see
 * outdated values. Not thread-safe.
 */
final class LaggedLoad {

	private final Deque<Sample> samples = new ArrayDeque<>();

	private final long lagMs;

	LaggedLoad(long lagMs) {
		this.lagMs = lagMs;
		this.samples.add(new Sample(0, 0, System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lagMs)));
	}

	void update(int running, int queued) {
		this.samples.add(new Sample(running, queued, System.nanoTime()));
		dropSuperseded();
	}

	ObjectNode report() {
		dropSuperseded();
		Sample sample = this.samples.getFirst();
		return Exchange.newObject()
			.put("running", sample.running)
			.put("queued", sample.queued)
			.put("ageMs", this.lagMs);
	}

	private void dropSuperseded() {
		long reportUntil = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(this.lagMs);
		Sample newestReportable = this.samples.getFirst();
		while (!this.samples.isEmpty() && this.samples.getFirst().atNanos - reportUntil <= 0) {
			newestReportable = this.samples.removeFirst();
		}
		if (this.samples.isEmpty() || this.samples.getFirst() != newestReportable) {
			this.samples.addFirst(newestReportable);
		}
	}

	private record Sample(int running, int queued, long atNanos) {
	}

}

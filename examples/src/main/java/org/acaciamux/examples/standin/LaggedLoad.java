package org.acaciamux.examples.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reports the engine stand-in's load as it was a fixed time ago. Not thread-safe.
 */
final class LaggedLoad {

	private final Deque<Sample> samples = new ArrayDeque<>();

	private final long lagMs;

	LaggedLoad(long lagMs) {
		this.lagMs = lagMs;
		this.samples.add(new Sample(0, 0, System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lagMs)));
	}

	void changed(int running, int queued) {
		this.samples.add(new Sample(running, queued, System.nanoTime()));
		dropOld();
	}

	ObjectNode report() {
		dropOld();
		Sample sample = this.samples.getFirst();
		return Exchange.object().put("running", sample.running).put("queued", sample.queued).put("ageMs", this.lagMs);
	}

	private void dropOld() {
		long visibleBefore = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(this.lagMs);
		Sample newestVisible = this.samples.getFirst();
		while (!this.samples.isEmpty() && this.samples.getFirst().atNanos - visibleBefore <= 0) {
			newestVisible = this.samples.removeFirst();
		}
		if (this.samples.isEmpty() || this.samples.getFirst() != newestVisible) {
			this.samples.addFirst(newestVisible);
		}
	}

	private record Sample(int running, int queued, long atNanos) {
	}

}

package org.acaciamux.internal.experiment;

import java.util.PriorityQueue;

import org.agrona.concurrent.NanoClock;

/**
 * Virtual time of an experiment. Invariant: tasks run in the order of their times, those
 * of the same time in the order in which they were added. Used by one thread.
 */
final class Timeline implements NanoClock {

	private static final double NANOS_PER_MS = 1_000_000;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private long now;

	private long sequence;

	@Override
	public long nanoTime() {
		return this.now;
	}

	double ms() {
		return this.now / NANOS_PER_MS;
	}

	void after(double ms, Runnable action) {
		this.tasks.add(new Task(this.now + (long) (ms * NANOS_PER_MS), this.sequence++, action));
	}

	void every(double ms, Runnable action) {
		after(ms, () -> {
			action.run();
			every(ms, action);
		});
	}

	void runUntil(double ms) {
		long end = (long) (ms * NANOS_PER_MS);
		while (!this.tasks.isEmpty() && this.tasks.peek().at() <= end) {
			Task task = this.tasks.poll();
			this.now = task.at();
			task.action().run();
		}
		this.now = end;
	}

	private record Task(long at, long order, Runnable action) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}

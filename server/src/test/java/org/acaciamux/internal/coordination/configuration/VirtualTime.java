package org.acaciamux.internal.coordination.configuration;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock that runs the scheduled tasks in order on the calling thread.
 */
public final class VirtualTime {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::atMs).thenComparingLong(Task::sequence));

	private long nowMs = 1_000;

	private long sequence;

	public long nowMs() {
		return this.nowMs;
	}

	public void after(long delayMs, Runnable action) {
		this.tasks.add(new Task(this.nowMs + delayMs, this.sequence++, action));
	}

	public void runFor(long durationMs) {
		long end = this.nowMs + durationMs;
		while (!this.tasks.isEmpty() && this.tasks.peek().atMs <= end) {
			Task task = this.tasks.remove();
			this.nowMs = task.atMs;
			task.action.run();
		}
		this.nowMs = end;
	}

	private record Task(long atMs, long sequence, Runnable action) {
	}

}

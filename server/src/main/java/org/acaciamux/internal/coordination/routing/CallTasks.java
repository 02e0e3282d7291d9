package org.acaciamux.internal.coordination.routing;

import java.util.ArrayDeque;
import java.util.Deque;

import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Runs tasks one at a time, in the order of submission and on the submitting threads. No
 * lock is held while a task runs. Invariants: no two tasks overlap, and a task submitted
 * by a running task runs after it. Thread-safe.
 */
final class CallTasks {

	private final RankedLock lock = new RankedLock(LockRank.LEAF);

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private boolean running;

	void run(Runnable task) {
		boolean first = this.lock.get(() -> {
			this.waiting.add(task);
			boolean idle = !this.running;
			this.running = true;
			return idle;
		});
		if (first) {
			drain();
		}
	}

	private void drain() {
		Runnable task = next();
		while (task != null) {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				this.lock.run(() -> this.running = false);
				throw ex;
			}
			task = next();
		}
	}

	private Runnable next() {
		return this.lock.get(() -> {
			Runnable task = this.waiting.poll();
			this.running = task != null;
			return task;
		});
	}

}

package org.acaciamux.internal.state;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Runs tasks one at a time and in order on a worker pool. Invariant: at most one task of
 * an instance runs at any time, and a task sees the effects of those before it; tasks
 * hold no lock of this class, so they may take any ranked lock. Thread-safe.
 */
public final class OrderedTasks {

	private static final int BATCH = 64;

	private final WorkerPool pool;

	private final Queue<Runnable> queue = new ArrayDeque<>();

	private boolean scheduled;

	public OrderedTasks(WorkerPool pool) {
		this.pool = pool;
	}

	/**
	 * Add a task.
	 * @param task the task
	 * @return the number of tasks that wait, this one included
	 */
	public int add(Runnable task) {
		int size;
		synchronized (this.queue) {
			this.queue.add(task);
			size = this.queue.size();
			if (this.scheduled) {
				return size;
			}
			this.scheduled = true;
		}
		this.pool.execute(this::drain);
		return size;
	}

	/**
	 * Return the number of tasks that wait.
	 * @return the number
	 */
	public int size() {
		synchronized (this.queue) {
			return this.queue.size();
		}
	}

	private void drain() {
		try {
			for (int i = 0; i < BATCH; i++) {
				Runnable task = poll();
				if (task == null) {
					return;
				}
				task.run();
			}
		}
		catch (RuntimeException | Error ex) {
			this.pool.execute(this::drain);
			throw ex;
		}
		this.pool.execute(this::drain);
	}

	private Runnable poll() {
		synchronized (this.queue) {
			Runnable task = this.queue.poll();
			this.scheduled = task != null;
			return task;
		}
	}

}

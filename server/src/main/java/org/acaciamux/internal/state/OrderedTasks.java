package org.acaciamux.internal.state;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Runs tasks one at a time and in order on a worker pool. Invariant: at most one task of
 * an instance runs at any time, and a task sees the effects of those before it. Unlike
 * {@link SerialTasks}, it holds no lock while a task runs, so tasks may acquire any
 * ranked lock. Thread-safe.
 */
public final class OrderedTasks {

	/** Tasks that run before the worker is given back to the pool. */
	private static final int BATCH_SIZE = 64;

	private final WorkerPool pool;

	private final Queue<Runnable> queue = new ArrayDeque<>();

	private boolean scheduled;

	public OrderedTasks(WorkerPool pool) {
		this.pool = pool;
	}

	/**
	 * Add a task.
	 * @param task the task
	 * @return the number of waiting tasks, including this one
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
	 * Return the number of waiting tasks.
	 * @return the number
	 */
	public int size() {
		synchronized (this.queue) {
			return this.queue.size();
		}
	}

	private void drain() {
		try {
			for (int i = 0; i < BATCH_SIZE; i++) {
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

package org.acaciamux.internal.state;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Runs tasks one at a time, in the order in which they were posted, on threads of an
 * executor. Posting acquires no lock, so it is allowed while any lock is held.
 * Invariants: tasks run under the lock of rank {@link LockRank#SERIAL_TASKS};
 * {@link #offer} rejects tasks while the given number of tasks waits. Thread-safe.
 */
public final class SerialTasks {

	private final RankedLock lock = new RankedLock(LockRank.SERIAL_TASKS);

	private final Queue<Runnable> waiting = new ConcurrentLinkedQueue<>();

	private final AtomicInteger size = new AtomicInteger();

	private final Executor executor;

	private final int limit;

	/**
	 * Create an empty queue.
	 * @param executor runs the tasks; must not run them in a calling thread that holds a
	 * ranked lock
	 * @param limit the number of waiting tasks at which {@link #offer} rejects further
	 * ones
	 */
	public SerialTasks(Executor executor, int limit) {
		this.executor = executor;
		this.limit = limit;
	}

	/**
	 * Run a task after those that were posted earlier, however many wait.
	 * @param task the task
	 */
	public void post(Runnable task) {
		this.waiting.add(task);
		if (this.size.getAndIncrement() == 0) {
			this.executor.execute(this::drain);
		}
	}

	/**
	 * Run a task after those that were posted earlier, unless too many wait.
	 * @param task the task
	 * @return whether the task was accepted
	 */
	public boolean offer(Runnable task) {
		if (this.size.get() >= this.limit) {
			return false;
		}
		post(task);
		return true;
	}

	/**
	 * Compute a value while no task runs.
	 * @param <T> the type of the value
	 * @param supplier computes the value
	 * @return the value
	 */
	public <T> T get(Supplier<T> supplier) {
		return this.lock.get(supplier);
	}

	private void drain() {
		do {
			try {
				this.lock.run(this.waiting.remove());
			}
			catch (RuntimeException | Error ex) {
				if (this.size.decrementAndGet() > 0) {
					this.executor.execute(this::drain);
				}
				throw ex;
			}
		}
		while (this.size.decrementAndGet() > 0);
	}

}

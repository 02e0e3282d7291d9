package org.acaciamux.internal.state;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.acaciamux.internal.BrokenInvariant;

/**
 * The worker threads of a process. Tasks run concurrently over the shared tables and
 * guard them with {@link RankedLock}. Invariant: a task that throws does not end its
 * worker; the exception goes to the handler given at construction. Thread-safe.
 */
public final class WorkerPool implements AutoCloseable {

	private final ScheduledThreadPoolExecutor executor;

	private final Consumer<Throwable> errorHandler;

	/**
	 * Start the workers.
	 * @param name the prefix of thread names
	 * @param threads the number of threads, at least 1
	 * @param errorHandler receives what tasks throw, {@link BrokenInvariant} included
	 */
	public WorkerPool(String name, int threads, Consumer<Throwable> errorHandler) {
		AtomicInteger next = new AtomicInteger();
		ThreadFactory factory = (task) -> {
			Thread thread = new Thread(task, name + "-" + next.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
		this.errorHandler = errorHandler;
		this.executor = new ScheduledThreadPoolExecutor(threads, factory);
		this.executor.setRemoveOnCancelPolicy(true);
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
		this.executor.setContinueExistingPeriodicTasksAfterShutdownPolicy(false);
	}

	/**
	 * Run a task on a worker.
	 * @param task the task
	 */
	public void execute(Runnable task) {
		if (!this.executor.isShutdown()) {
			this.executor.execute(guarded(task));
		}
	}

	/**
	 * Run a task on a worker after a delay.
	 * @param task the task
	 * @param delayMs the delay in milliseconds, at least 0
	 */
	public void schedule(Runnable task, long delayMs) {
		if (!this.executor.isShutdown()) {
			this.executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Run a task periodically on a worker, with a fixed delay between runs.
	 * @param task the task
	 * @param periodMs the delay between two runs in milliseconds, at least 1
	 */
	public void every(Runnable task, long periodMs) {
		this.executor.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
	}

	private Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				this.errorHandler.accept(ex);
			}
		};
	}

	@Override
	public void close() {
		this.executor.shutdown();
	}

}

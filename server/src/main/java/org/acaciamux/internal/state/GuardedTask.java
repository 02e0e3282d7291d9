package org.acaciamux.internal.state;

import java.util.function.Consumer;

/**
 * Runs a task on which later work depends: an event loop drops a periodic task that
 * throws, and a future swallows what its callbacks throw. Invariant: whatever the task
 * throws, errors included, reaches the handler, and nothing leaves {@link #run()}. As
 * thread-safe as the task and the handler.
 */
public final class GuardedTask implements Runnable {

	private final Runnable task;

	private final Consumer<Throwable> onFailure;

	/**
	 * Create a guarded task.
	 * @param task the task
	 * @param onFailure receives what the task throws
	 */
	public GuardedTask(Runnable task, Consumer<Throwable> onFailure) {
		this.task = task;
		this.onFailure = onFailure;
	}

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (RuntimeException | Error ex) {
			handle(ex);
		}
	}

	private void handle(Throwable failure) {
		try {
			this.onFailure.accept(failure);
		}
		catch (RuntimeException | Error ex) {
			// There may be no memory left to report the failure.
		}
	}

}

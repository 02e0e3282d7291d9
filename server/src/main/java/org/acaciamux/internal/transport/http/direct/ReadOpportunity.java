package org.acaciamux.internal.transport.http.direct;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.agrona.concurrent.NanoClock;

/**
 * Runs an action that ends something for lack of bytes only after the event loop has read
 * everything that arrived until the action was decided. Invariant: a pause of the event
 * loop between the decision and the action delays the action. Confined to the event loop.
 */
final class ReadOpportunity {

	/**
	 * Time in milliseconds until the action. The event loop reads all connections in
	 * between, unless it is paused.
	 */
	private static final long DELAY_MS = 20;

	private final NanoClock clock;

	private final LongSupplier readUntil;

	private final Scheduler scheduler;

	/**
	 * Create a read opportunity.
	 * @param clock the monotonic clock
	 * @param readUntil tells the time up to which everything that arrived has been read
	 * @param scheduler runs tasks in the event loop
	 */
	ReadOpportunity(NanoClock clock, LongSupplier readUntil, Scheduler scheduler) {
		this.clock = clock;
		this.readUntil = readUntil;
		this.scheduler = scheduler;
	}

	/**
	 * Run an action when everything that has arrived by now has been read.
	 * @param action the action, which decides again
	 */
	void after(Runnable action) {
		runAfter(this.clock.nanoTime(), action);
	}

	private void runAfter(long decidedAt, Runnable action) {
		this.scheduler.schedule(() -> {
			if (this.readUntil.getAsLong() - decidedAt < 0) {
				runAfter(decidedAt, action);
				return;
			}
			action.run();
		}, DELAY_MS, TimeUnit.MILLISECONDS);
	}

	/** Runs tasks later. */
	interface Scheduler {

		void schedule(Runnable task, long delay, TimeUnit unit);

	}

}

package org.acaciamux.internal.transport.http.direct;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.acaciamux.internal.event.DecisionLog;

/**
 * Finds the pauses of the event loop: times in which the router neither read nor decided
 * anything. Writes a line for each, so that other lines can be read against it.
 * Invariant: at most one line per {@link #LATE_TICK_MS}. Confined to the event loop.
 */
final class LoopPauses {

	/**
	 * Time between two checks above which the event loop counts as having been paused, in
	 * milliseconds.
	 */
	static final long LATE_TICK_MS = 200;

	private static final long NANOS_PER_MS = 1_000_000;

	private final Supplier<Optional<ThreadTimes.Times>> threadTimes;

	private final DirectMetrics metrics;

	private final DecisionLog log;

	private Optional<ThreadTimes.Times> lastTimes = Optional.empty();

	/** Empty until they have been loaded. */
	private volatile List<GarbageCollectorMXBean> collectors = List.of();

	private boolean collectorsRequested;

	private long lastCheckAt;

	/** What the last check returned, if it was late. */
	private Optional<Long> unreadSince = Optional.empty();

	private long lastPauseEndedAt;

	LoopPauses(long now, Supplier<Optional<ThreadTimes.Times>> threadTimes, DirectMetrics metrics, DecisionLog log) {
		this.lastCheckAt = now;
		this.lastPauseEndedAt = now;
		this.threadTimes = threadTimes;
		this.metrics = metrics;
		this.log = log;
	}

	/**
	 * Record a check of the time limits.
	 * @param now the monotonic time in nanoseconds
	 * @return time up to which everything that arrived has been read: bytes that arrived
	 * in a pause are read after this check
	 */
	long check(long now) {
		long lastAt = this.lastCheckAt;
		long ms = (now - lastAt) / NANOS_PER_MS;
		Optional<ThreadTimes.Times> before = this.lastTimes;
		this.lastTimes = this.threadTimes.get();
		this.lastCheckAt = now;
		if (ms <= LATE_TICK_MS) {
			this.unreadSince = Optional.empty();
			return now;
		}
		this.unreadSince = Optional.of(lastAt);
		this.metrics.paused(ms);
		this.log.line("event=router-paused pausedMs=" + ms + " ranMs=" + spent(before, ThreadTimes.Times::ranMs)
				+ " waitedMs=" + spent(before, ThreadTimes.Times::waitedMs) + " gcTotalMs=" + gcTotalMs()
				+ " sinceLastMs=" + (lastAt - this.lastPauseEndedAt) / NANOS_PER_MS);
		this.lastPauseEndedAt = now;
		// Not in the start of the process, which it would delay.
		if (before.isPresent()) {
			loadCollectors();
		}
		return lastAt;
	}

	// Takes too long for the event loop at the first call.
	private void loadCollectors() {
		if (this.collectorsRequested) {
			return;
		}
		this.collectorsRequested = true;
		Thread thread = new Thread(() -> this.collectors = ManagementFactory.getGarbageCollectorMXBeans(),
				"garbage-collector-beans");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Return the time up to which everything that arrived has been read. What arrived in
	 * a pause has been read when the next check is in time.
	 * @param now the monotonic time in nanoseconds
	 * @return the time, monotonic in nanoseconds
	 */
	long readUntil(long now) {
		boolean paused = (now - this.lastCheckAt) / NANOS_PER_MS > LATE_TICK_MS;
		return this.unreadSince.orElse(paused ? this.lastCheckAt : now);
	}

	// Returns -1 if it is not known.
	private long spent(Optional<ThreadTimes.Times> before, Field field) {
		return before.flatMap((from) -> this.lastTimes.map((to) -> field.of(to) - field.of(from))).orElse(-1L);
	}

	// Returns -1 if it is not known.
	private long gcTotalMs() {
		List<GarbageCollectorMXBean> loaded = this.collectors;
		return loaded.isEmpty() ? -1 : loaded.stream().mapToLong(GarbageCollectorMXBean::getCollectionTime).sum();
	}

	private interface Field {

		long of(ThreadTimes.Times times);

	}

}

package org.acaciamux.internal.transport.http.direct;

import org.acaciamux.internal.event.DecisionLog;

/**
 * Limits the log lines of one kind that callers or backend servers can cause. Invariants:
 * at most {@value #LINES_PER_INTERVAL} lines per second; the log tells how many lines
 * were left out. Confined to the event loop.
 */
final class LineLimit {

	private static final int LINES_PER_INTERVAL = 10;

	private static final long INTERVAL_NANOS = 1_000_000_000;

	private final String event;

	private final DecisionLog log;

	private long intervalStart;

	private int lines;

	/**
	 * Create a limit.
	 * @param event the event of the lines
	 * @param log receives the number of lines that were left out
	 */
	LineLimit(String event, DecisionLog log) {
		this.event = event;
		this.log = log;
	}

	/**
	 * Count a line if it may be written.
	 * @param now the monotonic time in nanoseconds
	 * @return whether it may
	 */
	boolean tryLine(long now) {
		tick(now);
		return this.lines++ < LINES_PER_INTERVAL;
	}

	/**
	 * Log the number of lines that were left out in an interval that has passed.
	 * @param now the monotonic time in nanoseconds
	 */
	void tick(long now) {
		if (now - this.intervalStart <= INTERVAL_NANOS) {
			return;
		}
		int suppressed = this.lines - LINES_PER_INTERVAL;
		this.intervalStart = now;
		this.lines = 0;
		if (suppressed > 0) {
			this.log.line("event=lines-suppressed of=" + this.event + " count=" + suppressed);
		}
	}

}

package org.acaciamux.internal.transport.http.direct;

/**
 * Limits the log lines of one kind that callers or backend servers can cause. Invariant:
 * at most {@value #LINES_PER_INTERVAL} lines per second. Confined to the event loop.
 */
final class LineLimit {

	private static final int LINES_PER_INTERVAL = 10;

	private static final long INTERVAL_NANOS = 1_000_000_000;

	private long intervalStart;

	private int lines;

	/**
	 * Count a line if it may be written.
	 * @param now the monotonic time in nanoseconds
	 * @return whether it may
	 */
	boolean tryLine(long now) {
		if (now - this.intervalStart > INTERVAL_NANOS) {
			this.intervalStart = now;
			this.lines = 0;
		}
		return this.lines++ < LINES_PER_INTERVAL;
	}

}

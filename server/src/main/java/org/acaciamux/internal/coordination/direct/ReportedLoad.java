package org.acaciamux.internal.coordination.direct;

import java.util.OptionalInt;

/**
 * Load that a backend server reports with a response. Immutable and thread-safe.
 *
 * @param running requests that it processes
 * @param waiting requests in its queue
 * @param slots requests that it can process at once
 * @param reportedPercent current duration of work in percent of the usual, empty if the
 * server does not report it
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalInt reportedPercent) {

	private static final int USUAL_PERCENT = 100;

	/**
	 * Create the load of a server that does not report the duration of work.
	 * @param running requests that it processes
	 * @param waiting requests in its queue
	 * @param slots requests that it can process at once
	 */
	public ReportedLoad(int running, int waiting, int slots) {
		this(running, waiting, slots, OptionalInt.empty());
	}

	/**
	 * Return the current duration of work.
	 * @return the duration in percent of the usual, 100 if it is not reported
	 */
	public int durationPercent() {
		return this.reportedPercent.orElse(USUAL_PERCENT);
	}

}

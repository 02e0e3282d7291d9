package org.acaciamux.internal.cli;

import java.util.Locale;

/**
 * Formats durations for people. Holds no state; thread-safe.
 */
final class Durations {

	private static final long MINUTE_MS = 60_000;

	private static final long HOUR_MS = 3_600_000;

	private Durations() {
	}

	/**
	 * Format a duration, rounded down to whole minutes or hours from one minute on.
	 * @param ms milliseconds; a negative duration, which differing clocks cause, is
	 * formatted as 0
	 * @return for instance {@code 1.5 s}, {@code 4 min} or {@code 3 h}
	 */
	static String format(long ms) {
		if (ms < MINUTE_MS) {
			return String.format(Locale.ROOT, "%.1f s", Math.max(0, ms) / 1_000.0);
		}
		return (ms < HOUR_MS) ? ms / MINUTE_MS + " min" : ms / HOUR_MS + " h";
	}

}

package org.acaciamux.internal.coordination.membership;

/**
 * Times and bounds of the load exchange and of the routers' pool views. Immutable and
 * thread-safe.
 *
 * @param intervalMs time between two exchanges of an agent, in milliseconds
 * @param peers number of other agents to which an agent sends each exchange
 * @param entries most entries in one exchange message
 * @param loadMaxAgeMs age from which an entry counts as load 0, in milliseconds
 * @param forwardMaxAgeMs age from which an entry is not passed on, in milliseconds
 * @param viewIntervalMs time between two requests of a router for the view of a pool, in
 * milliseconds; varied by up to a quarter
 * @param largeViewIntervalMs the same for pools with more members than {@code entries},
 * in milliseconds
 * @param viewTimeoutMs how long a router waits for a view, in milliseconds
 */
public record ExchangeSettings(long intervalMs, int peers, int entries, long loadMaxAgeMs, long forwardMaxAgeMs,
		long viewIntervalMs, long largeViewIntervalMs, long viewTimeoutMs) {

	/**
	 * Return the default settings.
	 * @return the settings
	 */
	public static ExchangeSettings defaults() {
		return new ExchangeSettings(500, 2, 64, 3_000, 10_000, 2_000, 10_000, 1_000);
	}

}

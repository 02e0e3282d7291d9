package org.acaciamux.settings;

/**
 * Limits on what a process accepts and holds. Immutable and thread-safe.
 *
 * @param bodyBytes largest request body in bytes, 1,024 to 15,000,000
 * @param headerBytes largest header section in bytes, 1,024 to 262,144
 * @param requestTimeoutMs longest time to receive a whole request in milliseconds, 100 to
 * 600,000
 * @param connections simultaneous connections of callers, 1 to 1,000,000
 * @param requests simultaneous requests in flight, 1 to 1,000,000
 * @param drainTimeoutMs longest time a drain waits in milliseconds, 0 to 86,400,000; 0
 * waits until everything has ended
 */
public record LimitSettings(int bodyBytes, int headerBytes, long requestTimeoutMs, int connections, int requests,
		long drainTimeoutMs) {

	/**
	 * Return the default limits.
	 * @return the limits
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(1_048_576, 16_384, 30_000, 10_000, 10_000, 0);
	}

}

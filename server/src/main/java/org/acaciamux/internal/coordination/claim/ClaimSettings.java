package org.acaciamux.internal.coordination.claim;

/**
 * Settings of claims that are the same for all pools. Immutable and thread-safe.
 *
 * @param writesPerSecond claim writes of one pool over all its agents, 1 to 10,000
 * @param entriesPerSegment maximum number of entries of a segment object, 1 to 2,000
 * @param claimWaitMs longest time a call waits for its claim to be durable, in
 * milliseconds
 * @param outcomeDelayMs longest time an outcome waits for a group write, in milliseconds
 * @param storedBodyBytes largest body kept for replay, in bytes
 * @param storedBytes limit for all answers kept for replay, in bytes
 * @param expiryMarginMs how much longer than the retention claims are kept, to allow for
 * clocks that differ, in milliseconds
 */
public record ClaimSettings(int writesPerSecond, int entriesPerSegment, long claimWaitMs, long outcomeDelayMs,
		int storedBodyBytes, long storedBytes, long expiryMarginMs) {

	/**
	 * Return the default settings.
	 * @return the settings
	 */
	public static ClaimSettings defaults() {
		return new ClaimSettings(100, 500, 2_000, 1_000, 64 * 1024, 32L * 1024 * 1024, 60_000);
	}

}

package org.acaciamux.internal.coordination.claim;

/**
 * Settings of the distribution of partitions over agents. Immutable and thread-safe.
 *
 * @param ownerGoneMs how long an owner must be missing before its partitions are taken,
 * in milliseconds
 * @param rankDelayMs how much longer each further agent in the ranking waits, in
 * milliseconds
 * @param stableMs how long an agent must be live before partitions are moved to it, in
 * milliseconds
 * @param holdMs how long a partition stays at its owner at least, in milliseconds;
 * quadrupled each time it comes back after a move, at most 64 times as long
 * @param concurrentTakes partitions that one agent takes or gives up at once
 */
public record OwnershipSettings(long ownerGoneMs, long rankDelayMs, long stableMs, long holdMs, int concurrentTakes) {

	/**
	 * Return the default settings.
	 * @return the settings
	 */
	public static OwnershipSettings defaults() {
		return new OwnershipSettings(3_000, 2_000, 10_000, 30_000, 4);
	}

}

package org.acaciamux.internal.coordination.claim;

/**
 * Settings of the distribution of partitions over agents. Immutable and thread-safe.
 *
 * @param ownerGoneMs how long an owner must be missing before its partitions are taken
 * over, in milliseconds
 * @param rankDelayMs additional wait per position in the ranking of agents, in
 * milliseconds
 * @param stableMs how long an agent must be live before partitions are moved to it, in
 * milliseconds
 * @param holdMs shortest time that a partition stays at its owner, in milliseconds;
 * quadrupled each time the partition returns to an earlier owner, up to 64 times as long
 * @param concurrentMoves partitions that one agent takes over or releases at once
 */
public record OwnershipSettings(long ownerGoneMs, long rankDelayMs, long stableMs, long holdMs, int concurrentMoves) {

	/**
	 * Return the default settings.
	 * @return the settings
	 */
	public static OwnershipSettings defaults() {
		return new OwnershipSettings(3_000, 2_000, 10_000, 30_000, 4);
	}

}

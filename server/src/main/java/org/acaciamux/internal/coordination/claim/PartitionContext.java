package org.acaciamux.internal.coordination.claim;

import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/**
 * What the partitions of one agent share. Thread-safe.
 *
 * @param store the store under the ledger's lock
 * @param pool the pool's name
 * @param vm the id of this VM
 * @param incarnation the incarnation of this process
 * @param epochClock the wall clock, only for ages of keys
 * @param nanoClock the monotonic clock
 * @param settings the settings
 * @param metrics the metrics
 */
record PartitionContext(GuardedStore store, String pool, String vm, long incarnation, EpochClock epochClock,
		NanoClock nanoClock, ClaimSettings settings, ClaimMetrics metrics) {

	long nowMs() {
		return this.epochClock.time();
	}

	long nowNanos() {
		return this.nanoClock.nanoTime();
	}

}

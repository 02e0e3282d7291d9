package org.acaciamux.internal.coordination.claim;

import java.util.function.Consumer;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.platform.GuardedStore;
import org.acaciamux.internal.coordination.platform.RetryingWrite;
import org.acaciamux.internal.event.EventLog;

/**
 * Dependencies shared by the partitions of one agent. Thread-safe.
 *
 * @param store the object store, used under the ledger's lock
 * @param pool the pool's name
 * @param vm the id of this VM
 * @param incarnation the incarnation of this process
 * @param epochClock the wall clock, used only for the ages of keys
 * @param nanoClock the monotonic clock
 * @param settings the settings
 * @param metrics the metrics
 */
record PartitionContext(GuardedStore store, String pool, String vm, long incarnation, EpochClock epochClock,
		NanoClock nanoClock, ClaimSettings settings, ClaimMetrics metrics) {

	RetryingWrite write(String kind, String name, long ifVersion, JsonNode value, Predicate<JsonNode> containsWrite,
			Consumer<RetryingWrite.Result> callback) {
		RetryingWrite.Target target = new RetryingWrite.Target(kind, name, ifVersion);
		return new RetryingWrite(this.store, this.nanoClock, target, value, containsWrite,
				(failure) -> EventLog.log(ClaimEvent.WRITE_UNCERTAIN, target, failure.detail()), callback);
	}

	long nowMs() {
		return this.epochClock.time();
	}

	long nowNanos() {
		return this.nanoClock.nanoTime();
	}

}

package org.acaciamux.internal.coordination.claim;

import java.util.Optional;
import java.util.stream.IntStream;

import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Tells whether each partition of a pool has had an owner. Until then no call with an
 * idempotency key can run, and the fleet is not ready for such calls. Invariant: once
 * each partition had an owner, later moves of partitions do not count. Thread-safe.
 */
public final class FirstOwners {

	private final RecordView records;

	private final String pool;

	private volatile boolean complete;

	/**
	 * Create the view of one pool.
	 * @param records the records in force
	 * @param pool the pool's name
	 */
	public FirstOwners(RecordView records, String pool) {
		this.records = records;
		this.pool = pool;
	}

	/**
	 * Find a partition that has had no owner yet.
	 * @return the number of such a partition, empty if there is none
	 */
	public Optional<Integer> missing() {
		Optional<PoolSpec> spec = this.records.pool(this.pool).filter((poolSpec) -> !poolSpec.repeatable());
		if (this.complete || spec.isEmpty()) {
			return Optional.empty();
		}
		int partitions = PartitionRecord.find(this.records, this.pool, 0)
			.map(PartitionRecord::partitions)
			.orElse(spec.get().claimPartitions());
		Optional<Integer> missing = IntStream.range(0, partitions)
			.filter((number) -> !hasOwner(number))
			.boxed()
			.findFirst();
		this.complete = missing.isEmpty();
		return missing;
	}

	private boolean hasOwner(int partition) {
		return PartitionRecord.find(this.records, this.pool, partition)
			.filter((found) -> !found.owner().isEmpty())
			.isPresent();
	}

}

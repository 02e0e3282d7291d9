package org.acaciamux.internal.coordination.claim;

import java.util.Optional;

import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Finds owners in the {@code ClaimPartition} objects that are distributed with the
 * configuration. The number of partitions comes from the pool's first partition object,
 * not from the pool's record, which an operator may change. Thread-safe; holds no state
 * of its own.
 */
public final class RecordPartitionOwners implements PartitionOwners {

	private final RecordView records;

	/**
	 * Create the view.
	 * @param records the records in force
	 */
	public RecordPartitionOwners(RecordView records) {
		this.records = records;
	}

	@Override
	public Optional<String> owner(PoolSpec pool, String key) {
		return IdempotencyKey.parse(key).flatMap((parsed) -> owner(pool.name(), parsed));
	}

	private Optional<String> owner(String pool, IdempotencyKey key) {
		return PartitionRecord.find(this.records, pool, 0)
			.map(PartitionRecord::partitions)
			.flatMap((count) -> PartitionRecord.find(this.records, pool, key.partition(count)))
			.map(PartitionRecord::owner)
			.filter((owner) -> !owner.isEmpty());
	}

}

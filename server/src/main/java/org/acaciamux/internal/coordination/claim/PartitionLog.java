package org.acaciamux.internal.coordination.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.claim.PartitionTakeover.SegmentInfo;
import org.acaciamux.internal.coordination.claim.PartitionTakeover.TakenPartition;
import org.acaciamux.internal.coordination.platform.RetryingWrite;
import org.acaciamux.internal.coordination.platform.RetryingWrite.Result;
import org.acaciamux.internal.event.EventLog;

/**
 * The segments of a partition that this process owns. Invariants: one write is
 * outstanding at a time; each write is conditional on the version that the previous one
 * produced; after the partition is lost nothing more is written. Guarded by the lock of
 * its {@link GuardedStore}.
 */
final class PartitionLog {

	private final PartitionContext context;

	private final String name;

	private final Map<Long, SegmentInfo> closed;

	private PartitionRecord record;

	private long version;

	private long openSequence;

	private ClaimSegment openSegment;

	private long openVersion;

	private RetryingWrite write;

	private long writeCount;

	PartitionLog(PartitionContext context, String name, TakenPartition partition) {
		this.context = context;
		this.name = name;
		this.record = partition.record();
		this.version = partition.version();
		this.openSequence = partition.openSequence();
		this.openSegment = partition.openSegment();
		this.openVersion = partition.openVersion();
		this.closed = new HashMap<>(partition.closed());
	}

	boolean busy() {
		return this.write != null;
	}

	boolean uncertain() {
		return this.write != null && this.write.uncertain();
	}

	long floorMs() {
		return this.record.floorMs();
	}

	/**
	 * Return how many more entries fit into the open segment.
	 * @return the number of entries
	 */
	int remainingEntries() {
		return this.context.settings().entriesPerSegment() - this.openSegment.entries().size();
	}

	void tick() {
		if (this.write != null) {
			this.write.tick();
		}
	}

	void append(List<SegmentEntry> group, Consumer<WriteOutcome> callback) {
		writeSegment(this.openSegment.append(writeId(), group), callback);
	}

	// Append the last group and seal the open segment.
	void close(List<SegmentEntry> group, Consumer<WriteOutcome> callback) {
		writeSegment(this.openSegment.append(writeId(), group).seal(), callback);
	}

	private void writeSegment(ClaimSegment next, Consumer<WriteOutcome> callback) {
		String object = ClaimSegment.name(this.name, this.openSequence);
		this.context.metrics().writes().mark();
		start(this.context.write(ClaimSegment.KIND, object, this.openVersion, next.toJson(),
				(json) -> ClaimSegment.batchId(json).equals(next.batch()), (result) -> {
					this.write = null;
					if (result instanceof Result.Written written) {
						boolean sealedByOther = !next.sealed() && written.object().value().path("sealed").asBoolean();
						this.openSegment = next;
						this.openVersion = written.object().version();
						callback.accept(sealedByOther ? WriteOutcome.WRITTEN_AND_LOST : WriteOutcome.WRITTEN);
						return;
					}
					callback.accept(outcomeOf(result));
				}));
	}

	// Replace the full open segment by a new one.
	void rollOver(Consumer<WriteOutcome> callback) {
		long sequence = this.version;
		ClaimSegment segment = new ClaimSegment("open:" + Long.toHexString(this.context.incarnation()), false,
				List.of());
		start(PartitionTakeover.segmentCreation(this.context, this.name, sequence, segment, (result) -> {
			this.write = null;
			if (result instanceof Result.Written written) {
				long created = written.object().version();
				writeRecord(this.record.withSegment(sequence), (outcome) -> {
					if (outcome == WriteOutcome.WRITTEN) {
						this.closed.put(this.openSequence, SegmentInfo.of(this.openVersion, this.openSegment));
						this.openSequence = sequence;
						this.openSegment = segment;
						this.openVersion = created;
					}
					callback.accept(outcome);
				});
				return;
			}
			callback.accept(outcomeOf(result));
		}));
	}

	/**
	 * Drop the closed segments whose keys all have times up to a given one.
	 * @param expiredUpToMs the newest time of an expired key, in milliseconds since 1970
	 * @param callback receives the outcome of the write; not called without such segments
	 * @return whether there are such segments
	 */
	boolean dropExpiredSegments(long expiredUpToMs, Consumer<WriteOutcome> callback) {
		List<Long> expired = this.closed.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().newestKeyMs() <= expiredUpToMs)
			.map(Map.Entry::getKey)
			.toList();
		if (expired.isEmpty()) {
			return false;
		}
		long newestMs = expired.stream()
			.mapToLong((sequence) -> this.closed.get(sequence).newestKeyMs())
			.max()
			.orElse(0);
		writeRecord(this.record.withoutSegments(expired::contains).withFloor(newestMs), (outcome) -> {
			if (outcome == WriteOutcome.WRITTEN) {
				EventLog.log(ClaimEvent.SEGMENTS_EXPIRED, this.name, expired.size(), this.record.floorMs());
				expired.forEach(this::deleteSegment);
			}
			callback.accept(outcome);
		});
		return true;
	}

	private void deleteSegment(long sequence) {
		SegmentInfo info = this.closed.remove(sequence);
		this.context.store()
			.delete(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence), info.version(), (ignored) -> {
			});
	}

	// Release the partition; the open segment must be sealed.
	void release(Consumer<WriteOutcome> callback) {
		writeRecord(this.record.withOwner("", 0), callback);
	}

	private void writeRecord(PartitionRecord next, Consumer<WriteOutcome> callback) {
		String id = writeId();
		PartitionRecord value = next.withWrite(id);
		start(this.context.write(PartitionRecord.KIND, this.name, this.version, value.toJson(),
				(json) -> PartitionRecord.writeId(json).equals(id), (result) -> {
					this.write = null;
					if (result instanceof Result.Written written) {
						this.record = value;
						this.version = written.object().version();
					}
					callback.accept(outcomeOf(result));
				}));
	}

	private void start(RetryingWrite next) {
		this.write = next;
		next.start();
	}

	private String writeId() {
		this.writeCount++;
		return Long.toHexString(this.context.incarnation()) + ":" + this.openSequence + ":" + this.writeCount;
	}

	private static WriteOutcome outcomeOf(Result result) {
		if (result instanceof Result.Written) {
			return WriteOutcome.WRITTEN;
		}
		return (result instanceof Result.Lost) ? WriteOutcome.LOST : WriteOutcome.NOT_WRITTEN;
	}

	void dump(ObjectNode node) {
		node.put("version", this.version);
		node.put("segments", this.record.segments().size());
		node.put("openEntries", this.openSegment.entries().size());
		node.put("floorMs", this.record.floorMs());
		node.put("uncertain", uncertain());
	}

	/**
	 * Outcome of a write.
	 */
	enum WriteOutcome {

		/** The write took effect. */
		WRITTEN,
		/** The write took effect; then another process sealed the segment. */
		WRITTEN_AND_LOST,
		/** The platform refused the write; it did not take effect. */
		NOT_WRITTEN,
		/** Another process owns the partition; the write did not take effect. */
		LOST

	}

}

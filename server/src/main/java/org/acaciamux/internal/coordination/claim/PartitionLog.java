package org.acaciamux.internal.coordination.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.claim.PartitionTake.SegmentInfo;
import org.acaciamux.internal.coordination.claim.PartitionTake.Taken;
import org.acaciamux.internal.coordination.platform.CertainWrite;
import org.acaciamux.internal.coordination.platform.CertainWrite.Result;
import org.acaciamux.internal.event.EventLog;

/**
 * The segments of a partition that this process owns. Invariants: one write is
 * outstanding at a time; each write is conditional on the version that the one before
 * left; after a loss nothing more is written. Guarded by the lock of its
 * {@link GuardedStore}.
 */
final class PartitionLog {

	private final PartitionContext context;

	private final String name;

	private final Map<Long, SegmentInfo> closed;

	private PartitionRecord record;

	private long version;

	private long openSequence;

	private ClaimSegment open;

	private long openVersion;

	private CertainWrite write;

	private long writeCount;

	PartitionLog(PartitionContext context, String name, Taken taken) {
		this.context = context;
		this.name = name;
		this.record = taken.record();
		this.version = taken.version();
		this.openSequence = taken.openSequence();
		this.open = taken.open();
		this.openVersion = taken.openVersion();
		this.closed = new HashMap<>(taken.closed());
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

	// Return how many entries the open segment can still take.
	int room() {
		return this.context.settings().entriesPerSegment() - this.open.entries().size();
	}

	void tick() {
		if (this.write != null) {
			this.write.tick();
		}
	}

	// Append a group to the open segment.
	void append(List<SegmentEntry> group, Consumer<Ended> then) {
		writeSegment(this.open.plus(writeId(), group), then);
	}

	// Append the last group and seal the open segment.
	void close(List<SegmentEntry> group, Consumer<Ended> then) {
		writeSegment(this.open.plus(writeId(), group).seal(), then);
	}

	private void writeSegment(ClaimSegment next, Consumer<Ended> then) {
		String object = ClaimSegment.name(this.name, this.openSequence);
		this.context.metrics().writes().mark();
		start(this.context.write(ClaimSegment.KIND, object, this.openVersion, next.toJson(),
				(json) -> ClaimSegment.batchOf(json).equals(next.batch()), (result) -> {
					this.write = null;
					if (result instanceof Result.Written written) {
						boolean sealedByOther = !next.sealed() && written.object().value().path("sealed").asBoolean();
						this.open = next;
						this.openVersion = written.object().version();
						then.accept(sealedByOther ? Ended.WRITTEN_AND_LOST : Ended.WRITTEN);
						return;
					}
					then.accept(ended(result));
				}));
	}

	// Open the next segment, because the open one is full.
	void rollOver(Consumer<Ended> then) {
		long sequence = this.version;
		ClaimSegment segment = new ClaimSegment("open:" + Long.toHexString(this.context.incarnation()), false,
				List.of());
		start(PartitionTake.segmentCreation(this.context, this.name, sequence, segment, (result) -> {
			this.write = null;
			if (result instanceof Result.Written written) {
				long created = written.object().version();
				writeRecord(this.record.withSegment(sequence), (ended) -> {
					if (ended == Ended.WRITTEN) {
						this.closed.put(this.openSequence, SegmentInfo.of(this.openVersion, this.open));
						this.openSequence = sequence;
						this.open = segment;
						this.openVersion = created;
					}
					then.accept(ended);
				});
				return;
			}
			then.accept(ended(result));
		}));
	}

	// Drop the segments whose keys all have times up to a floor.
	// returns whether there are any
	boolean trim(long floorMs, Consumer<Ended> then) {
		List<Long> expired = this.closed.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().newestKeyMs() <= floorMs)
			.map(Map.Entry::getKey)
			.toList();
		if (expired.isEmpty()) {
			return false;
		}
		long newest = expired.stream().mapToLong((sequence) -> this.closed.get(sequence).newestKeyMs()).max().orElse(0);
		writeRecord(this.record.without(expired::contains).withFloor(newest), (ended) -> {
			if (ended == Ended.WRITTEN) {
				EventLog.log(ClaimEvent.SEGMENTS_EXPIRED, this.name, expired.size(), this.record.floorMs());
				expired.forEach(this::delete);
			}
			then.accept(ended);
		});
		return true;
	}

	private void delete(long sequence) {
		SegmentInfo info = this.closed.remove(sequence);
		this.context.store()
			.delete(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence), info.version(), (ignored) -> {
			});
	}

	// Give the partition up; the open segment must be sealed.
	void release(Consumer<Ended> then) {
		writeRecord(this.record.ownedBy("", 0), then);
	}

	private void writeRecord(PartitionRecord next, Consumer<Ended> then) {
		String id = writeId();
		PartitionRecord value = next.withWrite(id);
		start(this.context.write(PartitionRecord.KIND, this.name, this.version, value.toJson(),
				(json) -> PartitionRecord.writeOf(json).equals(id), (result) -> {
					this.write = null;
					if (result instanceof Result.Written written) {
						this.record = value;
						this.version = written.object().version();
					}
					then.accept(ended(result));
				}));
	}

	private void start(CertainWrite next) {
		this.write = next;
		next.start();
	}

	private String writeId() {
		this.writeCount++;
		return Long.toHexString(this.context.incarnation()) + ":" + this.openSequence + ":" + this.writeCount;
	}

	private static Ended ended(Result result) {
		if (result instanceof Result.Written) {
			return Ended.WRITTEN;
		}
		return (result instanceof Result.Lost) ? Ended.LOST : Ended.NOT_WRITTEN;
	}

	void dump(ObjectNode node) {
		node.put("version", this.version);
		node.put("segments", this.record.segments().size());
		node.put("openEntries", this.open.entries().size());
		node.put("floorMs", this.record.floorMs());
		node.put("uncertain", uncertain());
	}

	/**
	 * How a write ended.
	 */
	enum Ended {

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

package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.CertainWrite;
import org.acaciamux.internal.coordination.platform.CertainWrite.Result;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.event.EventLog;

/**
 * Takes a partition: names this process as owner, seals the last segment, loads all
 * segments, creates its own segment and adds that to the list. Each step is conditional
 * on the state that the step before left, so of several racing processes at most one gets
 * to the end, and a former owner can't append after the seal. A segment is created before
 * the list names it and is used only after the list does: the write of the list proves
 * that the creator was still the owner after the creation. Guarded by the lock of its
 * {@link GuardedStore}.
 */
final class PartitionTake {

	private final PartitionContext context;

	private final String name;

	private final Expected expected;

	private final Consumer<Either<String, Taken>> then;

	private final List<SegmentEntry> entries = new ArrayList<>();

	private final Map<Long, SegmentInfo> loaded = new HashMap<>();

	private final List<Long> missing = new ArrayList<>();

	private PartitionRecord record = PartitionRecord.empty(1);

	private long version;

	private long floorMs;

	private String previousOwner = "";

	private CertainWrite write;

	private int writeCount;

	// Create a takeover; start() begins it.
	// name: the name of the partition object
	// expected: the owner to replace
	// then: receives the result or why there is none
	PartitionTake(PartitionContext context, String name, Expected expected, Consumer<Either<String, Taken>> then) {
		this.context = context;
		this.name = name;
		this.expected = expected;
		this.then = then;
	}

	void start() {
		this.context.store().get(PartitionRecord.KIND, this.name, this::found);
	}

	void tick() {
		if (this.write != null) {
			this.write.tick();
		}
	}

	private void found(Either<StoreFailure, StoredObject> result) {
		if (result.isLeft() && result.getLeft().kind() != Kind.NOT_FOUND) {
			fail(result.getLeft().detail());
			return;
		}
		if (result.isRight()) {
			Optional<PartitionRecord> found = PartitionRecord.parse(result.get().value());
			if (found.isEmpty()) {
				invalid(PartitionRecord.KIND, this.name);
				return;
			}
			this.record = found.get();
			this.version = result.get().version();
		}
		else {
			this.record = PartitionRecord.empty(this.expected.partitions());
		}
		this.previousOwner = this.record.owner();
		Optional<String> objection = objection();
		if (objection.isPresent()) {
			fail(objection.get());
			return;
		}
		putRecord(this.record.ownedBy(this.context.vm(), this.context.incarnation()), this::seal);
	}

	private Optional<String> objection() {
		String owner = this.record.owner();
		if (owner.isEmpty() && this.expected.owner().equals(this.context.vm())) {
			// An outdated view must not undo a release that moves the partition
			// elsewhere.
			return Optional.of("released in the meantime");
		}
		boolean replaceable = owner.isEmpty() || owner.equals(this.context.vm())
				|| (owner.equals(this.expected.owner()) && this.record.incarnation() == this.expected.incarnation());
		if (!replaceable) {
			return Optional.of("owned by " + owner + " in the meantime");
		}
		if (this.record.partitions() != this.expected.partitions()) {
			return Optional.of("the object is for " + this.record.partitions() + " partitions, the pool has "
					+ this.expected.partitions());
		}
		return Optional.empty();
	}

	private void putRecord(PartitionRecord next, Runnable after) {
		String id = "take:" + Long.toHexString(this.context.incarnation()) + ":" + this.version + ":"
				+ this.writeCount++;
		PartitionRecord value = next.withWrite(id);
		this.write = this.context.write(PartitionRecord.KIND, this.name, this.version, value.toJson(),
				(json) -> PartitionRecord.writeOf(json).equals(id), (result) -> {
					if (result instanceof Result.Written written) {
						this.record = value;
						this.version = written.object().version();
						after.run();
						return;
					}
					fail(reason(result));
				});
		this.write.start();
	}

	private void seal() {
		Optional<Long> last = this.record.lastSegment();
		if (last.isEmpty()) {
			create();
			return;
		}
		String segment = ClaimSegment.name(this.name, last.get());
		this.context.store().get(ClaimSegment.KIND, segment, (result) -> sealIfOpen(last.get(), result));
	}

	private void sealIfOpen(long sequence, Either<StoreFailure, StoredObject> result) {
		if (result.isLeft() || ClaimSegment.parse(result.get().value()).filter((it) -> !it.sealed()).isEmpty()) {
			load(sequence, result, this.record.segments().size() - 1);
			return;
		}
		ClaimSegment sealed = ClaimSegment.parse(result.get().value()).orElseThrow().seal();
		String segment = ClaimSegment.name(this.name, sequence);
		this.write = this.context.write(ClaimSegment.KIND, segment, result.get().version(), sealed.toJson(),
				(json) -> json.path("sealed").asBoolean(), (written) -> sealWritten(sequence, written));
		this.write.start();
	}

	private void sealWritten(long sequence, Result result) {
		if (result instanceof Result.Written written) {
			load(sequence, Either.right(written.object()), this.record.segments().size() - 1);
		}
		else if (result instanceof Result.Lost lost && lost.current().isPresent()) {
			sealIfOpen(sequence, Either.right(lost.current().get()));
		}
		else if (result instanceof Result.Lost) {
			seal();
		}
		else {
			fail(reason(result));
		}
	}

	private void load(long sequence, Either<StoreFailure, StoredObject> result, int position) {
		if (result.isLeft() && result.getLeft().kind() != Kind.NOT_FOUND) {
			fail(result.getLeft().detail());
			return;
		}
		if (result.isLeft()) {
			this.missing.add(sequence);
			this.floorMs = this.context.nowMs() + IdempotencyKey.MAX_FUTURE_MS;
		}
		else {
			Optional<ClaimSegment> segment = ClaimSegment.parse(result.get().value());
			if (segment.isEmpty()) {
				invalid(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence));
				return;
			}
			this.entries.addAll(0, segment.get().entries());
			this.loaded.put(sequence, SegmentInfo.of(result.get().version(), segment.get()));
		}
		loadBefore(position);
	}

	private void loadBefore(int position) {
		if (position == 0) {
			create();
			return;
		}
		long sequence = this.record.segments().get(position - 1);
		this.context.store()
			.get(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence),
					(result) -> load(sequence, result, position - 1));
	}

	private void create() {
		long sequence = this.version;
		ClaimSegment segment = new ClaimSegment("open:" + Long.toHexString(this.context.incarnation()), false,
				List.of());
		this.write = segmentCreation(this.context, this.name, sequence, segment, (result) -> {
			if (result instanceof Result.Written written) {
				name(sequence, segment, written.object());
				return;
			}
			fail(reason(result));
		});
		this.write.start();
	}

	// Return the write that creates a segment.
	static CertainWrite segmentCreation(PartitionContext context, String partition, long sequence, ClaimSegment segment,
			Consumer<Result> then) {
		return context.write(ClaimSegment.KIND, ClaimSegment.name(partition, sequence), 0, segment.toJson(),
				(json) -> ClaimSegment.batchOf(json).equals(segment.batch()), then);
	}

	private void name(long sequence, ClaimSegment segment, StoredObject object) {
		List<Long> empty = this.record.segments()
			.stream()
			.filter((old) -> this.loaded.containsKey(old) && this.loaded.get(old).newestKeyMs() == 0)
			.toList();
		PartitionRecord next = this.record.without(empty::contains)
			.without(this.missing::contains)
			.withSegment(sequence)
			.withFloor(this.floorMs);
		putRecord(next, () -> {
			this.missing.forEach((lost) -> EventLog.log(ClaimEvent.SEGMENT_MISSING, this.name, lost, this.floorMs));
			empty.forEach((old) -> forget(old, this.loaded.remove(old)));
			this.then.accept(Either.right(new Taken(this.record, this.version, sequence, segment, object.version(),
					this.entries, this.loaded, this.previousOwner)));
		});
	}

	private void forget(long sequence, SegmentInfo info) {
		this.context.store()
			.delete(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence), info.version(), (ignored) -> {
			});
	}

	private void invalid(String kind, String object) {
		EventLog.log(ClaimEvent.OBJECT_INVALID, kind + "/" + object);
		fail(kind + "/" + object + " can't be read");
	}

	private void fail(String reason) {
		this.write = null;
		this.then.accept(Either.left(reason));
	}

	static String reason(Result result) {
		if (result instanceof Result.NotWritten refused) {
			return refused.failure().detail();
		}
		return "another process changed the object";
	}

	/**
	 * The owner to replace.
	 *
	 * @param owner the id of its VM, empty if there is none
	 * @param incarnation its incarnation
	 * @param partitions the number of partitions of the pool
	 */
	record Expected(String owner, long incarnation, int partitions) {
	}

	/**
	 * What is known about a closed segment.
	 *
	 * @param version the version of its object
	 * @param newestKeyMs the newest time in a key, 0 if it has no entry
	 */
	record SegmentInfo(long version, long newestKeyMs) {

		static SegmentInfo of(long version, ClaimSegment segment) {
			return new SegmentInfo(version, segment.newestKeyMs());
		}

	}

	/**
	 * A partition that was taken.
	 *
	 * @param record the value of the partition object
	 * @param version the version of the partition object
	 * @param openSequence the sequence number of the open segment
	 * @param open the open segment
	 * @param openVersion the version of the open segment
	 * @param entries the entries of all other segments, oldest first
	 * @param closed the other segments
	 * @param previousOwner the id of the former owner's VM
	 */
	record Taken(PartitionRecord record, long version, long openSequence, ClaimSegment open, long openVersion,
			List<SegmentEntry> entries, Map<Long, SegmentInfo> closed, String previousOwner) {
	}

}

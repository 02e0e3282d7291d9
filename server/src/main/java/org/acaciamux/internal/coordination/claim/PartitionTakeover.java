package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.RetryingWrite;
import org.acaciamux.internal.coordination.platform.RetryingWrite.Result;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.event.EventLog;

/**
 * Takes a partition over: writes this process as owner into the partition object, seals
 * the last segment, loads all segments, creates a new segment and adds it to the list of
 * segments. Each step is conditional on the state that the previous step left, so at most
 * one of several racing processes completes, and a former owner can't append after the
 * seal. A segment is created before it is added to the list and is used only afterwards:
 * the write of the list proves that the creator was still the owner after it created the
 * segment. Guarded by the lock of its {@link GuardedStore}.
 */
final class PartitionTakeover {

	private final PartitionContext context;

	private final String name;

	private final ExpectedOwner expected;

	private final Consumer<Either<String, TakenPartition>> callback;

	private final List<SegmentEntry> entries = new ArrayList<>();

	private final Map<Long, SegmentInfo> loaded = new HashMap<>();

	private final List<Long> missingSegments = new ArrayList<>();

	private PartitionRecord record = PartitionRecord.empty(1);

	private long version;

	private long floorMs;

	private String previousOwner = "";

	private RetryingWrite write;

	private int writeCount;

	/**
	 * Create a takeover; {@link #start()} begins it.
	 * @param context the context of the agent's partitions
	 * @param name the name of the partition object
	 * @param expected the owner to replace
	 * @param callback receives the taken partition, or the reason of the failure
	 */
	PartitionTakeover(PartitionContext context, String name, ExpectedOwner expected,
			Consumer<Either<String, TakenPartition>> callback) {
		this.context = context;
		this.name = name;
		this.expected = expected;
		this.callback = callback;
	}

	void start() {
		this.context.store().get(PartitionRecord.KIND, this.name, this::recordRead);
	}

	void tick() {
		if (this.write != null) {
			this.write.tick();
		}
	}

	private void recordRead(Either<StoreFailure, StoredObject> result) {
		if (result.isLeft() && result.getLeft().kind() != Kind.NOT_FOUND) {
			fail(result.getLeft().detail());
			return;
		}
		if (result.isRight()) {
			Optional<PartitionRecord> parsed = PartitionRecord.parse(result.get().value());
			if (parsed.isEmpty()) {
				failInvalid(PartitionRecord.KIND, this.name);
				return;
			}
			this.record = parsed.get();
			this.version = result.get().version();
		}
		else {
			this.record = PartitionRecord.empty(this.expected.partitions());
		}
		this.previousOwner = this.record.owner();
		Optional<String> obstacle = obstacle();
		if (obstacle.isPresent()) {
			fail(obstacle.get());
			return;
		}
		putRecord(this.record.withOwner(this.context.vm(), this.context.incarnation()), this::sealLastSegment);
	}

	private Optional<String> obstacle() {
		String owner = this.record.owner();
		if (owner.isEmpty() && this.expected.owner().equals(this.context.vm())) {
			// An outdated view must not undo a release that moves the partition to
			// another agent.
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

	private void putRecord(PartitionRecord next, Runnable onWritten) {
		String id = "take:" + Long.toHexString(this.context.incarnation()) + ":" + this.version + ":"
				+ this.writeCount++;
		PartitionRecord value = next.withWrite(id);
		this.write = this.context.write(PartitionRecord.KIND, this.name, this.version, value.toJson(),
				(json) -> PartitionRecord.writeId(json).equals(id), (result) -> {
					if (result instanceof Result.Written written) {
						this.record = value;
						this.version = written.object().version();
						onWritten.run();
						return;
					}
					fail(reason(result));
				});
		this.write.start();
	}

	private void sealLastSegment() {
		Optional<Long> last = this.record.lastSegment();
		if (last.isEmpty()) {
			createSegment();
			return;
		}
		String segment = ClaimSegment.name(this.name, last.get());
		this.context.store().get(ClaimSegment.KIND, segment, (result) -> sealIfOpen(last.get(), result));
	}

	private void sealIfOpen(long sequence, Either<StoreFailure, StoredObject> result) {
		if (result.isLeft()
				|| ClaimSegment.parse(result.get().value()).filter((parsed) -> !parsed.sealed()).isEmpty()) {
			loadSegment(sequence, result, this.record.segments().size() - 1);
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
			loadSegment(sequence, Either.right(written.object()), this.record.segments().size() - 1);
		}
		else if (result instanceof Result.Lost lost && lost.current().isPresent()) {
			sealIfOpen(sequence, Either.right(lost.current().get()));
		}
		else if (result instanceof Result.Lost) {
			sealLastSegment();
		}
		else {
			fail(reason(result));
		}
	}

	private void loadSegment(long sequence, Either<StoreFailure, StoredObject> result, int position) {
		if (result.isLeft() && result.getLeft().kind() != Kind.NOT_FOUND) {
			fail(result.getLeft().detail());
			return;
		}
		if (result.isLeft()) {
			this.missingSegments.add(sequence);
			// The missing segment may have held the claim of any key with a time up to
			// this floor, so none of these keys may run.
			this.floorMs = this.context.nowMs() + IdempotencyKey.MAX_FUTURE_MS;
		}
		else {
			Optional<ClaimSegment> segment = ClaimSegment.parse(result.get().value());
			if (segment.isEmpty()) {
				failInvalid(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence));
				return;
			}
			this.entries.addAll(0, segment.get().entries());
			this.loaded.put(sequence, SegmentInfo.of(result.get().version(), segment.get()));
		}
		loadPrecedingSegment(position);
	}

	private void loadPrecedingSegment(int position) {
		if (position == 0) {
			createSegment();
			return;
		}
		long sequence = this.record.segments().get(position - 1);
		this.context.store()
			.get(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence),
					(result) -> loadSegment(sequence, result, position - 1));
	}

	private void createSegment() {
		long sequence = this.version;
		ClaimSegment segment = new ClaimSegment("open:" + Long.toHexString(this.context.incarnation()), false,
				List.of());
		this.write = segmentCreation(this.context, this.name, sequence, segment, (result) -> {
			if (result instanceof Result.Written written) {
				addToRecord(sequence, segment, written.object());
				return;
			}
			fail(reason(result));
		});
		this.write.start();
	}

	static RetryingWrite segmentCreation(PartitionContext context, String partition, long sequence,
			ClaimSegment segment, Consumer<Result> callback) {
		return context.write(ClaimSegment.KIND, ClaimSegment.name(partition, sequence), 0, segment.toJson(),
				(json) -> ClaimSegment.batchId(json).equals(segment.batch()), callback);
	}

	private void addToRecord(long sequence, ClaimSegment segment, StoredObject object) {
		List<Long> empty = this.record.segments()
			.stream()
			.filter((old) -> this.loaded.containsKey(old) && this.loaded.get(old).newestKeyMs() == 0)
			.toList();
		PartitionRecord next = this.record.withoutSegments(empty::contains)
			.withoutSegments(this.missingSegments::contains)
			.withSegment(sequence)
			.withFloor(this.floorMs);
		putRecord(next, () -> {
			this.missingSegments
				.forEach((number) -> EventLog.log(ClaimEvent.SEGMENT_MISSING, this.name, number, this.floorMs));
			empty.forEach((old) -> deleteSegment(old, this.loaded.remove(old)));
			this.callback.accept(Either.right(new TakenPartition(this.record, this.version, sequence, segment,
					object.version(), this.entries, this.loaded, this.previousOwner)));
		});
	}

	private void deleteSegment(long sequence, SegmentInfo info) {
		this.context.store()
			.delete(ClaimSegment.KIND, ClaimSegment.name(this.name, sequence), info.version(), (ignored) -> {
			});
	}

	private void failInvalid(String kind, String object) {
		EventLog.log(ClaimEvent.OBJECT_INVALID, kind + "/" + object);
		fail(kind + "/" + object + " can't be read");
	}

	private void fail(String reason) {
		this.write = null;
		this.callback.accept(Either.left(reason));
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
	 * @param owner the id of the owner's VM, empty if there is none
	 * @param incarnation the owner's incarnation
	 * @param partitions the number of partitions of the pool
	 */
	record ExpectedOwner(String owner, long incarnation, int partitions) {
	}

	/**
	 * Version and newest key time of a closed segment.
	 *
	 * @param version the version of its object
	 * @param newestKeyMs the newest time of a key, 0 if the segment has no entry
	 */
	record SegmentInfo(long version, long newestKeyMs) {

		static SegmentInfo of(long version, ClaimSegment segment) {
			return new SegmentInfo(version, segment.newestKeyMs());
		}

	}

	/**
	 * A partition that was taken over.
	 *
	 * @param record the value of the partition object
	 * @param version the version of the partition object
	 * @param openSequence the sequence number of the open segment
	 * @param openSegment the open segment
	 * @param openVersion the version of the open segment
	 * @param entries the entries of all other segments, oldest first
	 * @param closed the other segments by sequence number
	 * @param previousOwner the id of the former owner's VM
	 */
	record TakenPartition(PartitionRecord record, long version, long openSequence, ClaimSegment openSegment,
			long openVersion, List<SegmentEntry> entries, Map<Long, SegmentInfo> closed, String previousOwner) {
	}

}

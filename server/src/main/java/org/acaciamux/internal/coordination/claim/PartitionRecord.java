package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.state.record.RecordView;

/**
 * Value of a {@code ClaimPartition} object. Invariants: claims are appended only to the
 * last segment in the list; a claim whose segment was removed from the list has a key
 * whose time is not above the floor. Immutable and thread-safe.
 *
 * @param partitions the number of partitions of the pool, fixed when the pool's first
 * partition is created
 * @param owner the id of the owner's VM, empty if the partition was released
 * @param incarnation the incarnation of the owner's process
 * @param write the id of the write that produced this value
 * @param segments the sequence numbers of the segments, oldest first; the number of a
 * segment is the version of this object when the segment was created, so no two owners
 * use the same number
 * @param floorMs keys with a time up to this one, in milliseconds since 1970, never run,
 * because their claims may be deleted; makes the deletion safe when clocks differ
 */
record PartitionRecord(int partitions, String owner, long incarnation, String write, List<Long> segments,
		long floorMs) {

	static final String KIND = "ClaimPartition";

	PartitionRecord {
		segments = List.copyOf(segments);
	}

	static String name(String pool, int partition) {
		return pool + "." + partition;
	}

	static PartitionRecord empty(int partitions) {
		return new PartitionRecord(partitions, "", 0, "", List.of(), 0);
	}

	/**
	 * Find a partition among the records in force; it may be outdated.
	 */
	static Optional<PartitionRecord> find(RecordView records, String pool, int partition) {
		return records.value(KIND, name(pool, partition)).flatMap(PartitionRecord::parse);
	}

	static String writeId(JsonNode value) {
		return value.path("write").asText();
	}

	static Optional<PartitionRecord> parse(JsonNode value) {
		if (!value.path("partitions").canConvertToInt() || value.path("partitions").asInt() < 1
				|| !value.path("segments").isArray()) {
			return Optional.empty();
		}
		List<Long> segments = new ArrayList<>();
		value.path("segments").forEach((node) -> segments.add(node.asLong()));
		return Optional.of(new PartitionRecord(value.path("partitions").asInt(), value.path("owner").asText(),
				value.path("incarnation").asLong(), writeId(value), segments, value.path("floorMs").asLong()));
	}

	PartitionRecord withOwner(String vm, long ownerIncarnation) {
		return new PartitionRecord(this.partitions, vm, ownerIncarnation, this.write, this.segments, this.floorMs);
	}

	PartitionRecord withWrite(String id) {
		return new PartitionRecord(this.partitions, this.owner, this.incarnation, id, this.segments, this.floorMs);
	}

	PartitionRecord withSegment(long sequence) {
		List<Long> more = new ArrayList<>(this.segments);
		more.add(sequence);
		return new PartitionRecord(this.partitions, this.owner, this.incarnation, this.write, more, this.floorMs);
	}

	PartitionRecord withoutSegments(Predicate<Long> dropped) {
		List<Long> rest = this.segments.stream().filter(dropped.negate()).toList();
		return new PartitionRecord(this.partitions, this.owner, this.incarnation, this.write, rest, this.floorMs);
	}

	PartitionRecord withFloor(long floor) {
		return new PartitionRecord(this.partitions, this.owner, this.incarnation, this.write, this.segments,
				Math.max(this.floorMs, floor));
	}

	Optional<Long> lastSegment() {
		return this.segments.isEmpty() ? Optional.empty() : Optional.of(this.segments.get(this.segments.size() - 1));
	}

	boolean heldBy(String vm, long ownerIncarnation) {
		return this.owner.equals(vm) && this.incarnation == ownerIncarnation;
	}

	JsonNode toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("schema", 1);
		node.put("partitions", this.partitions);
		node.put("owner", this.owner);
		node.put("incarnation", this.incarnation);
		node.put("write", this.write);
		node.put("floorMs", this.floorMs);
		ArrayNode array = node.putArray("segments");
		this.segments.forEach(array::add);
		return node;
	}

}

package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Value of a {@code ClaimSegment} object. Only the owner that created a segment appends
 * to it; others may only seal it. Invariant: a sealed segment never changes. Immutable
 * and thread-safe.
 *
 * @param batch the id of the last group that was written
 * @param sealed whether nothing may be appended any more
 * @param entries the entries in the order written
 */
record ClaimSegment(String batch, boolean sealed, List<SegmentEntry> entries) {

	static final String KIND = "ClaimSegment";

	ClaimSegment {
		entries = List.copyOf(entries);
	}

	static String name(String partition, long sequence) {
		return partition + "." + sequence;
	}

	static String batchId(JsonNode value) {
		return value.path("batch").asText();
	}

	static Optional<ClaimSegment> parse(JsonNode value) {
		if (!value.path("entries").isArray() || !value.path("batch").isTextual()) {
			return Optional.empty();
		}
		List<SegmentEntry> entries = new ArrayList<>();
		for (JsonNode node : value.path("entries")) {
			Optional<SegmentEntry> entry = SegmentEntry.parse(node.asText());
			if (entry.isEmpty()) {
				return Optional.empty();
			}
			entries.add(entry.get());
		}
		return Optional.of(new ClaimSegment(batchId(value), value.path("sealed").asBoolean(), entries));
	}

	ClaimSegment append(String nextBatch, List<SegmentEntry> more) {
		List<SegmentEntry> all = new ArrayList<>(this.entries);
		all.addAll(more);
		return new ClaimSegment(nextBatch, this.sealed, all);
	}

	/**
	 * Return this segment sealed. The batch id is kept, so that an owner that got no
	 * answer to its last write can see that the group was written.
	 */
	ClaimSegment seal() {
		return new ClaimSegment(this.batch, true, this.entries);
	}

	/**
	 * Return the newest time of a key, 0 if there is no entry.
	 */
	long newestKeyMs() {
		return this.entries.stream().mapToLong((entry) -> entry.key().timestampMs()).max().orElse(0);
	}

	JsonNode toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("schema", 1);
		node.put("batch", this.batch);
		node.put("sealed", this.sealed);
		ArrayNode array = node.putArray("entries");
		this.entries.forEach((entry) -> array.add(entry.encode()));
		return node;
	}

}

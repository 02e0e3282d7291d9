package org.acaciamux.internal.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Value of a {@code LoadSlots} object. Invariant: has at most {@code limit} holders,
 * unless an operator lowered the limit. Immutable and thread-safe.
 *
 * @param limit concurrent loads in the region
 * @param holders the holders of slots
 */
record SlotRecord(int limit, List<Holder> holders) {

	static final String KIND = "LoadSlots";

	SlotRecord {
		holders = List.copyOf(holders);
	}

	static Optional<SlotRecord> parse(JsonNode value) {
		if (!value.path("limit").canConvertToInt() || !value.path("holders").isArray()) {
			return Optional.empty();
		}
		List<Holder> holders = new ArrayList<>();
		value.path("holders")
			.forEach((node) -> holders.add(new Holder(node.path("vm").asText(), node.path("write").asText(),
					node.path("pool").asText(), node.path("serving").asBoolean())));
		return Optional.of(new SlotRecord(value.path("limit").asInt(), holders));
	}

	Optional<Holder> findHolder(String vm) {
		return this.holders.stream().filter((holder) -> holder.vm.equals(vm)).findAny();
	}

	SlotRecord without(String vm) {
		return new SlotRecord(this.limit, this.holders.stream().filter((holder) -> !holder.vm.equals(vm)).toList());
	}

	SlotRecord with(Holder holder) {
		List<Holder> more = new ArrayList<>(without(holder.vm).holders);
		more.add(holder);
		return new SlotRecord(this.limit, more);
	}

	JsonNode toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("schema", 1);
		node.put("limit", this.limit);
		ArrayNode array = node.putArray("holders");
		for (Holder holder : this.holders) {
			ObjectNode entry = array.addObject();
			entry.put("vm", holder.vm);
			entry.put("write", holder.write);
			entry.put("pool", holder.pool);
			entry.put("serving", holder.serving);
		}
		return node;
	}

	/**
	 * Holder of a slot.
	 *
	 * @param vm the id of the VM
	 * @param write the id of the write that took or renewed the slot
	 * @param pool the pool's name
	 * @param serving whether the server could serve its pool if it did not load
	 */
	record Holder(String vm, String write, String pool, boolean serving) {
	}

}

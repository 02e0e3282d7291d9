package org.acaciamux.internal.process.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.direct.DirectoryPosition;
import org.acaciamux.internal.coordination.evacuation.EvacuationSet;

/**
 * Converts the evacuated failure domains to and from JSON. Invariant: a set is converted
 * as a whole or not at all, because a receiver replaces its own by it. Holds no state.
 */
final class EvacuationsJson {

	/**
	 * Largest total length of the names in a message, in characters: leaves most of a
	 * datagram to the other fields. Deployments have a few domains of up to 30
	 * characters.
	 */
	static final int MAX_NAME_CHARS = 400;

	private static final String ERA = "era";

	private static final String REVISION = "revision";

	private static final String DOMAINS = "domains";

	private static final String HELD = "heldMs";

	private EvacuationsJson() {
	}

	/**
	 * Return whether a set fits a message.
	 * @param set the set
	 * @return whether it does
	 */
	static boolean fits(EvacuationSet set) {
		return chars(set.domains()) + chars(set.heldMs().keySet()) <= MAX_NAME_CHARS;
	}

	// Quotes, separators and times take at most 8 more characters for each name.
	private static int chars(Set<String> names) {
		return names.stream().mapToInt((name) -> name.length() + 8).sum();
	}

	static ObjectNode write(EvacuationSet set) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put(ERA, set.position().era());
		node.put(REVISION, set.position().revision());
		ArrayNode domains = node.putArray(DOMAINS);
		set.domains().forEach(domains::add);
		if (!set.heldMs().isEmpty()) {
			ObjectNode held = node.putObject(HELD);
			set.heldMs().forEach(held::put);
		}
		return node;
	}

	static Optional<EvacuationSet> read(JsonNode node) {
		if (!node.path(ERA).canConvertToLong() || !node.path(REVISION).canConvertToLong()
				|| !node.path(DOMAINS).isArray()) {
			return Optional.empty();
		}
		Set<String> domains = new HashSet<>();
		node.path(DOMAINS).forEach((domain) -> domains.add(domain.asText()));
		Map<String, Long> heldMs = new HashMap<>();
		node.path(HELD).properties().forEach((entry) -> heldMs.put(entry.getKey(), entry.getValue().asLong()));
		DirectoryPosition position = new DirectoryPosition(node.path(ERA).asLong(), node.path(REVISION).asLong());
		return Optional.of(new EvacuationSet(position, domains, heldMs));
	}

}

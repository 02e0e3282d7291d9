package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A difference between two documents at one path. Immutable and thread-safe.
 *
 * @param path keys joined by dots, see {@link Documents}
 * @param before the value in the first document, empty if there is none
 * @param after the value in the second document, empty if there is none
 */
record FieldChange(String path, Optional<JsonNode> before, Optional<JsonNode> after) {

	/**
	 * Compare two documents field by field. Lists are compared as a whole.
	 * @param before the first document
	 * @param after the second document
	 * @return the differences, empty if there are none
	 */
	static List<FieldChange> between(JsonNode before, JsonNode after) {
		List<FieldChange> changes = new ArrayList<>();
		compare("", before, after, changes);
		return changes;
	}

	private static void compare(String path, JsonNode before, JsonNode after, List<FieldChange> changes) {
		if (before != null && after != null && before.isObject() && after.isObject()) {
			Set<String> keys = new LinkedHashSet<>();
			before.fieldNames().forEachRemaining(keys::add);
			after.fieldNames().forEachRemaining(keys::add);
			String prefix = path.isEmpty() ? "" : path + ".";
			keys.forEach((key) -> compare(prefix + key, before.get(key), after.get(key), changes));
			return;
		}
		if (before == null || after == null || !Documents.equalByValue(before, after)) {
			changes.add(new FieldChange(path, Optional.ofNullable(before), Optional.ofNullable(after)));
		}
	}

	/**
	 * Format the change as one line.
	 * @return for instance {@code ~ spec.weight: 1 -> 2}
	 */
	String line() {
		if (this.before.isEmpty()) {
			return "+ " + this.path + ": " + this.after.orElseThrow();
		}
		if (this.after.isEmpty()) {
			return "- " + this.path + ": " + this.before.get();
		}
		return "~ " + this.path + ": " + this.before.get() + " -> " + this.after.get();
	}

}

package org.acaciamux.internal.state.record;

import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Converts a spec from one schema version to another. Invariant: converting to another
 * version and back gives the original, unknown fields included. An unknown field that
 * lies in a group, or whose name the target version uses, is stored under
 * {@link #UNCONVERTED} instead. Holds no state; thread-safe.
 */
final class RecordConversion {

	/** Key of the unconverted fields, grouped by the schema version they come from. */
	static final String UNCONVERTED = "unconverted";

	private RecordConversion() {
	}

	/**
	 * Convert a spec.
	 * @param spec the spec
	 * @param from the layout of the spec
	 * @param to the layout to convert to
	 * @return a new spec
	 */
	static ObjectNode convert(ObjectNode spec, RecordLayout from, RecordLayout to) {
		ObjectNode remaining = spec.deepCopy();
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		ObjectNode unconverted = removeUnconverted(remaining);
		for (RecordField field : from.fields()) {
			JsonNode value = removeField(remaining, field);
			if (value != null) {
				to.fields()
					.stream()
					.filter((target) -> target.name().equals(field.name()))
					.forEach((target) -> setField(result, target, value));
			}
		}
		restoreUnconverted(result, unconverted.remove(to.apiVersion()));
		ObjectNode leftover = moveUnknown(remaining, result, from, to);
		if (!leftover.isEmpty()) {
			unconverted.set(from.apiVersion(), leftover);
		}
		if (!unconverted.isEmpty()) {
			result.set(UNCONVERTED, unconverted);
		}
		return result;
	}

	private static ObjectNode removeUnconverted(ObjectNode remaining) {
		JsonNode unconverted = remaining.get(UNCONVERTED);
		if (unconverted instanceof ObjectNode object) {
			remaining.remove(UNCONVERTED);
			return object;
		}
		return JsonNodeFactory.instance.objectNode();
	}

	private static JsonNode removeField(ObjectNode remaining, RecordField field) {
		if (field.group().isEmpty()) {
			return remaining.remove(field.leaf());
		}
		if (!(remaining.get(field.group()) instanceof ObjectNode group)) {
			return null;
		}
		JsonNode value = group.remove(field.leaf());
		if (value != null && group.isEmpty()) {
			remaining.remove(field.group());
		}
		return value;
	}

	private static void setField(ObjectNode result, RecordField target, JsonNode value) {
		if (target.group().isEmpty()) {
			result.set(target.leaf(), value);
			return;
		}
		result.withObjectProperty(target.group()).set(target.leaf(), value);
	}

	private static void restoreUnconverted(ObjectNode result, JsonNode leftover) {
		if (leftover instanceof ObjectNode object) {
			object.properties().forEach((entry) -> {
				if (result.get(entry.getKey()) instanceof ObjectNode present
						&& entry.getValue() instanceof ObjectNode more) {
					present.setAll(more);
				}
				else {
					result.set(entry.getKey(), entry.getValue());
				}
			});
		}
	}

	private static ObjectNode moveUnknown(ObjectNode remaining, ObjectNode result, RecordLayout from, RecordLayout to) {
		Set<String> reserved = new TreeSet<>(to.groups());
		reserved.addAll(from.groups());
		to.fields().stream().filter((field) -> field.group().isEmpty()).forEach((field) -> reserved.add(field.leaf()));
		reserved.add(UNCONVERTED);
		ObjectNode leftover = JsonNodeFactory.instance.objectNode();
		remaining.properties().forEach((entry) -> {
			ObjectNode target = reserved.contains(entry.getKey()) ? leftover : result;
			target.set(entry.getKey(), entry.getValue());
		});
		return leftover;
	}

}

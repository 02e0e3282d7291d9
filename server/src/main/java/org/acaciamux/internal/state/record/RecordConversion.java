package org.acaciamux.internal.state.record;

import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Converts a spec from one schema version to another and back. Invariant: converting
 * there and back gives the original, unknown fields included. An unknown field whose name
 * means something in the other version is set aside under {@link #KEPT}. Holds no state;
 * thread-safe.
 */
final class RecordConversion {

	/** Key of the fields set aside, by the version they come from. */
	static final String KEPT = "unconverted";

	private RecordConversion() {
	}

	/**
	 * Convert a spec.
	 * @param spec the spec
	 * @param from its layout
	 * @param to the wanted layout
	 * @return a new spec
	 */
	static ObjectNode convert(ObjectNode spec, RecordLayout from, RecordLayout to) {
		ObjectNode rest = spec.deepCopy();
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		ObjectNode kept = takeKept(rest);
		for (RecordField field : from.fields()) {
			JsonNode value = take(rest, field);
			if (value != null) {
				to.fields()
					.stream()
					.filter((target) -> target.name().equals(field.name()))
					.forEach((target) -> place(result, target, value));
			}
		}
		restore(result, kept.remove(to.apiVersion()));
		ObjectNode aside = moveRest(rest, result, from, to);
		if (!aside.isEmpty()) {
			kept.set(from.apiVersion(), aside);
		}
		if (!kept.isEmpty()) {
			result.set(KEPT, kept);
		}
		return result;
	}

	private static ObjectNode takeKept(ObjectNode rest) {
		JsonNode kept = rest.get(KEPT);
		if (kept instanceof ObjectNode object) {
			rest.remove(KEPT);
			return object;
		}
		return JsonNodeFactory.instance.objectNode();
	}

	private static JsonNode take(ObjectNode rest, RecordField field) {
		if (field.group().isEmpty()) {
			return rest.remove(field.leaf());
		}
		if (!(rest.get(field.group()) instanceof ObjectNode group)) {
			return null;
		}
		JsonNode value = group.remove(field.leaf());
		if (value != null && group.isEmpty()) {
			rest.remove(field.group());
		}
		return value;
	}

	private static void place(ObjectNode result, RecordField target, JsonNode value) {
		if (target.group().isEmpty()) {
			result.set(target.leaf(), value);
			return;
		}
		result.withObjectProperty(target.group()).set(target.leaf(), value);
	}

	private static void restore(ObjectNode result, JsonNode aside) {
		if (aside instanceof ObjectNode object) {
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

	private static ObjectNode moveRest(ObjectNode rest, ObjectNode result, RecordLayout from, RecordLayout to) {
		Set<String> reserved = new TreeSet<>(to.groups());
		reserved.addAll(from.groups());
		to.fields().stream().filter((field) -> field.group().isEmpty()).forEach((field) -> reserved.add(field.leaf()));
		reserved.add(KEPT);
		ObjectNode aside = JsonNodeFactory.instance.objectNode();
		rest.properties().forEach((entry) -> {
			ObjectNode target = reserved.contains(entry.getKey()) ? aside : result;
			target.set(entry.getKey(), entry.getValue());
		});
		return aside;
	}

}

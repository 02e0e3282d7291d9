package org.acaciamux.internal.state.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads checked fields by name, wherever the schema version has put them. Immutable and
 * thread-safe.
 */
final class SpecReader {

	private final JsonNode spec;

	private final RecordLayout layout;

	SpecReader(JsonNode spec, RecordLayout layout) {
		this.spec = spec;
		this.layout = layout;
	}

	boolean flag(String name, boolean absent) {
		return find(name).map(JsonNode::booleanValue).orElse(absent);
	}

	long whole(String name, long absent) {
		return find(name).map(JsonNode::longValue).orElse(absent);
	}

	double number(String name, double absent) {
		return find(name).map(JsonNode::doubleValue).orElse(absent);
	}

	String text(String name, String absent) {
		return find(name).map(JsonNode::textValue).orElse(absent);
	}

	List<String> texts(String name, List<String> absent) {
		Optional<JsonNode> list = find(name);
		if (list.isEmpty()) {
			return absent;
		}
		List<String> texts = new ArrayList<>();
		list.get().forEach((item) -> texts.add(item.textValue()));
		return texts;
	}

	private Optional<JsonNode> find(String name) {
		return this.layout.fields()
			.stream()
			.filter((field) -> field.name().equals(name))
			.findFirst()
			.flatMap((field) -> RecordLayout.value(this.spec, field));
	}

}

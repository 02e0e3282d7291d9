package org.acaciamux.internal.state.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the fields of a valid spec by name, independent of their paths in the schema
 * version. Immutable and thread-safe.
 */
final class SpecReader {

	private final JsonNode spec;

	private final RecordLayout layout;

	SpecReader(JsonNode spec, RecordLayout layout) {
		this.spec = spec;
		this.layout = layout;
	}

	boolean flag(String name, boolean defaultValue) {
		return find(name).map(JsonNode::booleanValue).orElse(defaultValue);
	}

	long whole(String name, long defaultValue) {
		return find(name).map(JsonNode::longValue).orElse(defaultValue);
	}

	double number(String name, double defaultValue) {
		return find(name).map(JsonNode::doubleValue).orElse(defaultValue);
	}

	String text(String name, String defaultValue) {
		return find(name).map(JsonNode::textValue).orElse(defaultValue);
	}

	List<String> texts(String name, List<String> defaultValue) {
		Optional<JsonNode> list = find(name);
		if (list.isEmpty()) {
			return defaultValue;
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

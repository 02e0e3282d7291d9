package org.acaciamux.internal.cli;

import java.util.Comparator;
import java.util.Iterator;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;

/**
 * Reads, compares and prints documents. Paths are keys joined by dots, for instance
 * {@code spec.queue.limit}. Holds no state; thread-safe.
 */
final class Documents {

	static final ObjectMapper JSON = new ObjectMapper();

	static final ObjectMapper YAML = new ObjectMapper(YAMLFactory.builder()
		.disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
		.enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
		.enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
		.build()).enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

	/** Compares numbers by value, so that 1 and 1.0 are equal. */
	private static final Comparator<JsonNode> BY_VALUE = (left, right) -> {
		if (left.isNumber() && right.isNumber()) {
			return left.decimalValue().compareTo(right.decimalValue());
		}
		return left.equals(right) ? 0 : 1;
	};

	private Documents() {
	}

	static boolean equalByValue(JsonNode left, JsonNode right) {
		return left.equals(BY_VALUE, right);
	}

	static String yaml(JsonNode node) {
		try {
			return YAML.writeValueAsString(node).stripTrailing();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a tree of nodes can always be written", ex);
		}
	}

	static Optional<JsonNode> find(JsonNode node, String path) {
		if (node.has(path)) {
			return Optional.of(node.get(path));
		}
		return parentKey(node, path).flatMap((key) -> find(node.get(key), path.substring(key.length() + 1)));
	}

	static void remove(ObjectNode node, String path) {
		if (node.has(path)) {
			node.remove(path);
			return;
		}
		parentKey(node, path).ifPresent((key) -> remove((ObjectNode) node.get(key), path.substring(key.length() + 1)));
	}

	/**
	 * Copy a value to the same path of another document. Creates missing parent objects.
	 * @param from the document with the value
	 * @param to the document to change
	 * @param path the path of the value
	 */
	static void copy(JsonNode from, ObjectNode to, String path) {
		if (from.has(path)) {
			to.set(path, from.get(path).deepCopy());
			return;
		}
		parentKey(from, path)
			.ifPresent((key) -> copy(from.get(key), to.withObjectProperty(key), path.substring(key.length() + 1)));
	}

	private static Optional<String> parentKey(JsonNode node, String path) {
		Iterator<String> keys = node.fieldNames();
		while (keys.hasNext()) {
			String key = keys.next();
			if (path.startsWith(key + ".") && node.get(key).isObject()) {
				return Optional.of(key);
			}
		}
		return Optional.empty();
	}

}

package org.acaciamux.internal.coordination.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

import org.acaciamux.internal.BrokenInvariant;
import org.acaciamux.internal.protocol.JsonTrees;

/**
 * Reads and writes the JSON of the platform's APIs. Thread-safe; holds no state.
 */
final class PlatformJson {

	private static final ObjectMapper mapper = new ObjectMapper();

	private PlatformJson() {
	}

	static byte[] bytes(JsonNode value) {
		try {
			return mapper.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new BrokenInvariant("A JSON tree could not be written: " + ex.getMessage());
		}
	}

	static JsonNode parse(byte[] body) {
		try {
			return JsonTrees.read(body);
		}
		catch (IOException ex) {
			return MissingNode.getInstance();
		}
	}

	static Optional<StoredObject> object(JsonNode node) {
		if (!node.path("name").isTextual() || !node.path("version").isIntegralNumber()) {
			return Optional.empty();
		}
		return Optional.of(new StoredObject(node.path("kind").asText(), node.path("name").asText(),
				node.path("version").asLong(), node.path("value")));
	}

	static List<StoredObject> objects(JsonNode items) {
		List<StoredObject> objects = new ArrayList<>();
		items.forEach((item) -> object(item).ifPresent(objects::add));
		return objects;
	}

	static String pathSegment(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

}

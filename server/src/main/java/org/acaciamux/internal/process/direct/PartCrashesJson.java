package org.acaciamux.internal.process.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.direct.PartCrashes;

/**
 * Converts the crashes of prompt parts to and from JSON: by server, an array of the
 * service, the age in milliseconds, whether the part was suspect before, and whether the
 * crash is cleared. Holds no state.
 */
final class PartCrashesJson {

	private static final String CRASHES = "crashes";

	private static final String REFUSED_AGE_MS = "refusedAgeMs";

	private PartCrashesJson() {
	}

	static ObjectNode write(Map<String, PartCrashes> parts) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		parts.forEach((id, known) -> {
			ObjectNode part = node.putObject(id);
			ObjectNode crashes = part.putObject(CRASHES);
			known.crashes()
				.forEach((server, crash) -> crashes.putArray(server)
					.add(crash.service())
					.add(crash.ageMs())
					.add(crash.repeated())
					.add(crash.cleared()));
			known.refusedAgeMs().ifPresent((ageMs) -> part.put(REFUSED_AGE_MS, ageMs));
		});
		return node;
	}

	static Map<String, PartCrashes> read(JsonNode node) {
		Map<String, PartCrashes> parts = new HashMap<>();
		node.properties().forEach((entry) -> parts.put(entry.getKey(), readPart(entry.getValue())));
		return parts;
	}

	private static PartCrashes readPart(JsonNode part) {
		Map<String, PartCrashes.Crash> crashes = new HashMap<>();
		part.path(CRASHES).properties().forEach((entry) -> {
			JsonNode crash = entry.getValue();
			crashes.put(entry.getKey(), new PartCrashes.Crash(crash.path(0).asText(), crash.path(1).asLong(),
					crash.path(2).asBoolean(), crash.path(3).asBoolean()));
		});
		JsonNode refusedAgeMs = part.path(REFUSED_AGE_MS);
		return new PartCrashes(crashes,
				refusedAgeMs.isNumber() ? OptionalLong.of(refusedAgeMs.asLong()) : OptionalLong.empty());
	}

}

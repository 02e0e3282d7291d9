package org.acaciamux.internal.process.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.direct.CrashSuspects.Crashes;

/**
 * Converts the crashes of requests to and from JSON. A router that knows one age for all
 * crashes of a request reads the field {@code ageMs}, the age of the last one. Holds no
 * state.
 */
final class CrashesJson {

	private static final int RADIX = 16;

	private static final Pattern FINGERPRINT = Pattern.compile("[0-9a-f]{1,16}");

	private CrashesJson() {
	}

	static ObjectNode write(Map<Long, Crashes> crashes) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		crashes.forEach((fingerprint, known) -> {
			ObjectNode suspect = node.putObject(Long.toHexString(fingerprint));
			suspect.put("ageMs", known.ageMs().values().stream().mapToLong(Long::longValue).min().orElse(0));
			ArrayNode servers = suspect.putArray("servers");
			ArrayNode agesMs = suspect.putArray("agesMs");
			known.ageMs().forEach((server, ageMs) -> {
				servers.add(server);
				agesMs.add(ageMs);
			});
			known.clearedAgeMs().ifPresent((ageMs) -> suspect.put("clearedAgeMs", ageMs));
		});
		return node;
	}

	static Map<Long, Crashes> read(JsonNode node) {
		Map<Long, Crashes> crashes = new HashMap<>();
		node.properties()
			.stream()
			.filter((entry) -> FINGERPRINT.matcher(entry.getKey()).matches())
			.forEach((entry) -> crashes.put(Long.parseUnsignedLong(entry.getKey(), RADIX), readOne(entry.getValue())));
		return crashes;
	}

	private static Crashes readOne(JsonNode suspect) {
		Map<String, Long> ageMs = new HashMap<>();
		JsonNode servers = suspect.path("servers");
		for (int i = 0; i < servers.size(); i++) {
			ageMs.put(servers.path(i).asText(), suspect.path("agesMs").path(i).asLong(suspect.path("ageMs").asLong()));
		}
		JsonNode clearedAgeMs = suspect.path("clearedAgeMs");
		return new Crashes(ageMs,
				clearedAgeMs.isNumber() ? OptionalLong.of(clearedAgeMs.asLong()) : OptionalLong.empty());
	}

}

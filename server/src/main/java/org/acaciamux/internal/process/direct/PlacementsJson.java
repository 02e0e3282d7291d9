package org.acaciamux.internal.process.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.direct.PromptPart;

/**
 * Converts placements, the prompts that each backend server has cached, to and from JSON:
 * each prompt is an array of alternating part ids and sizes in tokens. Holds no state.
 */
final class PlacementsJson {

	private PlacementsJson() {
	}

	static ObjectNode write(Map<String, List<List<PromptPart>>> placements) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		placements.forEach((server, prompts) -> {
			ArrayNode list = node.putArray(server);
			for (List<PromptPart> prompt : prompts) {
				ArrayNode parts = list.addArray();
				prompt.forEach((part) -> parts.add(part.id()).add(part.tokens()));
			}
		});
		return node;
	}

	static Map<String, List<List<PromptPart>>> read(JsonNode node) {
		Map<String, List<List<PromptPart>>> placements = new HashMap<>();
		node.properties().forEach((entry) -> {
			List<List<PromptPart>> prompts = new ArrayList<>();
			for (JsonNode parts : entry.getValue()) {
				List<PromptPart> prompt = new ArrayList<>();
				for (int i = 0; i + 1 < parts.size(); i += 2) {
					prompt.add(new PromptPart(parts.get(i).asText(), parts.get(i + 1).asInt()));
				}
				prompts.add(prompt);
			}
			placements.put(entry.getKey(), prompts);
		});
		return placements;
	}

}

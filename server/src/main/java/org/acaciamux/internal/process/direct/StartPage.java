package org.acaciamux.internal.process.direct;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.direct.CrashSuspects.Crashes;
import org.acaciamux.internal.coordination.direct.PartCrashes;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.protocol.JsonTrees;

/**
 * What a router that starts learns from the others, or from the directory if all have
 * been lost. Immutable and thread-safe.
 *
 * @param placements prompts that each backend server has cached, by the server's lifetime
 * @param crashes crashes by the fingerprint of the request
 * @param partCrashes crashes by prompt part
 */
record StartPage(Map<String, List<List<PromptPart>>> placements, Map<Long, Crashes> crashes,
		Map<String, PartCrashes> partCrashes) {

	/**
	 * Field of the crashes among the lifetimes of servers. Its value has the form of a
	 * placement, so that a router without this field takes it for one of a server that is
	 * not listed.
	 */
	private static final String CRASHES = "crashes";

	/** Field of the crashes by prompt part, of the same form. */
	private static final String PART_CRASHES = "partCrashes";

	byte[] encode() {
		ObjectNode node = PlacementsJson.write(this.placements);
		if (!this.crashes.isEmpty()) {
			put(node, CRASHES, CrashesJson.write(this.crashes));
		}
		if (!this.partCrashes.isEmpty()) {
			put(node, PART_CRASHES, PartCrashesJson.write(this.partCrashes));
		}
		return JsonTrees.write(node);
	}

	private static void put(ObjectNode node, String field, ObjectNode value) {
		String text = new String(JsonTrees.write(value), StandardCharsets.UTF_8);
		node.putArray(field).addArray().add(text).add(0);
	}

	private static JsonNode get(JsonNode node, String field) throws IOException {
		String text = node.path(field).path(0).path(0).asText("{}");
		return JsonTrees.read(text.getBytes(StandardCharsets.UTF_8));
	}

	static StartPage decode(byte[] bytes) throws IOException {
		JsonNode node = JsonTrees.read(bytes);
		Map<String, List<List<PromptPart>>> placements = PlacementsJson.read(node);
		placements.remove(CRASHES);
		placements.remove(PART_CRASHES);
		return new StartPage(placements, CrashesJson.read(get(node, CRASHES)),
				PartCrashesJson.read(get(node, PART_CRASHES)));
	}

}

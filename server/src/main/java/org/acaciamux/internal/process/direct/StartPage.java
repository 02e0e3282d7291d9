package org.acaciamux.internal.process.direct;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.direct.CrashSuspects.Crashes;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.protocol.JsonTrees;

/**
 * What a router that starts learns from the others, or from the directory if all have
 * been lost. Immutable and thread-safe.
 *
 * @param placements prompts that each backend server has cached, by the server's lifetime
 * @param crashes crashes by the fingerprint of the request
 */
record StartPage(Map<String, List<List<PromptPart>>> placements, Map<Long, Crashes> crashes) {

	/**
	 * Field of the crashes among the lifetimes of servers. Its value has the form of a
	 * placement, so that a router without this field takes it for one of a server that is
	 * not listed.
	 */
	private static final String CRASHES = "crashes";

	byte[] encode() {
		ObjectNode node = PlacementsJson.write(this.placements);
		if (!this.crashes.isEmpty()) {
			String text = new String(JsonTrees.write(CrashesJson.write(this.crashes)), StandardCharsets.UTF_8);
			node.putArray(CRASHES).addArray().add(text).add(0);
		}
		return JsonTrees.write(node);
	}

	static StartPage decode(byte[] bytes) throws IOException {
		JsonNode node = JsonTrees.read(bytes);
		Map<String, List<List<PromptPart>>> placements = PlacementsJson.read(node);
		placements.remove(CRASHES);
		String text = node.path(CRASHES).path(0).path(0).asText("{}");
		return new StartPage(placements, CrashesJson.read(JsonTrees.read(text.getBytes(StandardCharsets.UTF_8))));
	}

}

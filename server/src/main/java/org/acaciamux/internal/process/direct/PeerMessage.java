package org.acaciamux.internal.process.direct;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.direct.CrashSuspects.Crashes;
import org.acaciamux.internal.coordination.direct.DirectoryPosition;
import org.acaciamux.internal.coordination.direct.PartCrashes;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.evacuation.EvacuationSet;
import org.acaciamux.internal.protocol.JsonTrees;

/**
 * State that a router sends to the others several times a second, as one JSON datagram.
 * Immutable and thread-safe.
 *
 * @param router the sender's id
 * @param peer the endpoint at which the sender receives messages
 * @param domain the sender's failure domain, empty if a former version sent the message
 * @param answered whether the directory answers the sender
 * @param unpacks whether the sender reads packed datagrams
 * @param incarnation the incarnation of the sender's process
 * @param sequence the message's number within the incarnation
 * @param leaving whether the sender is shutting down
 * @param freshness how recent the sender's directory state is
 * @param inFlight the sender's requests by backend server id
 * @param crashes servers that crashed while they ran a request, by the fingerprint of the
 * request
 * @param leavingServers lifetimes of backend servers that leave, unless the directory has
 * shown it for some time
 * @param placements shared parts of the prompts sent since the last message, by backend
 * server id
 * @param partCrashes crashes of servers that were running requests with a prompt part, by
 * the part
 * @param cold milliseconds that backend servers are still cold whose entries do not show
 * it, by lifetime
 * @param evacuations the evacuated failure domains, empty if the message does not tell
 */
record PeerMessage(String router, String peer, String domain, boolean answered, boolean unpacks, long incarnation,
		long sequence, boolean leaving, Directory.Freshness freshness, Map<String, Integer> inFlight,
		Map<Long, Crashes> crashes, Set<String> leavingServers, Map<String, List<List<PromptPart>>> placements,
		Map<String, PartCrashes> partCrashes, Map<String, Long> cold, Optional<EvacuationSet> evacuations) {

	/** Version of the format; a message of another version is ignored. */
	private static final int FORMAT = 1;

	/** Field that is present only while the directory does not answer the sender. */
	private static final String UNANSWERED = "unanswered";

	private static final String EVACUATIONS = "evacuations";

	PeerMessage(String router, String peer, String domain, boolean answered, boolean unpacks, long incarnation,
			long sequence, boolean leaving, Directory.Freshness freshness, Map<String, Integer> inFlight,
			Map<Long, Crashes> crashes, Set<String> leavingServers, Map<String, List<List<PromptPart>>> placements,
			Map<String, PartCrashes> partCrashes, Map<String, Long> cold) {
		this(router, peer, domain, answered, unpacks, incarnation, sequence, leaving, freshness, inFlight, crashes,
				leavingServers, placements, partCrashes, cold, Optional.empty());
	}

	PeerMessage withEvacuations(Optional<EvacuationSet> told) {
		return new PeerMessage(this.router, this.peer, this.domain, this.answered, this.unpacks, this.incarnation,
				this.sequence, this.leaving, this.freshness, this.inFlight, this.crashes, this.leavingServers,
				this.placements, this.partCrashes, this.cold, told);
	}

	byte[] encode() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("format", FORMAT);
		node.put("router", this.router);
		node.put("peer", this.peer);
		node.put("domain", this.domain);
		node.put("packs", this.unpacks);
		if (!this.answered) {
			node.put(UNANSWERED, true);
		}
		node.put("incarnation", this.incarnation);
		node.put("sequence", this.sequence);
		node.put("leaving", this.leaving);
		node.put("config", this.freshness.config());
		node.put("era", this.freshness.known().era());
		node.put("revision", this.freshness.known().revision());
		node.put("changed", this.freshness.changed().revision());
		node.put("ageMs", this.freshness.ageMs());
		ObjectNode loads = node.putObject("inFlight");
		this.inFlight.forEach(loads::put);
		node.set("crashes", CrashesJson.write(this.crashes));
		ArrayNode leaving = node.putArray("leavingServers");
		this.leavingServers.forEach(leaving::add);
		node.set("placements", PlacementsJson.write(this.placements));
		node.set("partCrashes", PartCrashesJson.write(this.partCrashes));
		if (!this.cold.isEmpty()) {
			ObjectNode servers = node.putObject("cold");
			this.cold.forEach(servers::put);
		}
		this.evacuations.ifPresent((set) -> node.set(EVACUATIONS, EvacuationsJson.write(set)));
		return JsonTrees.write(node);
	}

	static Optional<PeerMessage> decode(byte[] bytes) {
		JsonNode node;
		try {
			node = JsonTrees.read(bytes);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		if (node == null || node.path("format").asInt() != FORMAT || node.path("router").asText().isEmpty()) {
			return Optional.empty();
		}
		Map<String, Integer> loads = new HashMap<>();
		node.path("inFlight").properties().forEach((entry) -> loads.put(entry.getKey(), entry.getValue().asInt()));
		Set<String> leavingServers = new HashSet<>();
		node.path("leavingServers").forEach((server) -> leavingServers.add(server.asText()));
		Map<String, Long> cold = new HashMap<>();
		node.path("cold").properties().forEach((entry) -> cold.put(entry.getKey(), entry.getValue().asLong()));
		return Optional.of(new PeerMessage(node.path("router").asText(), node.path("peer").asText(),
				node.path("domain").asText(), !node.path(UNANSWERED).asBoolean(), node.path("packs").asBoolean(),
				node.path("incarnation").asLong(), node.path("sequence").asLong(), node.path("leaving").asBoolean(),
				freshness(node), loads, CrashesJson.read(node.path("crashes")), leavingServers,
				PlacementsJson.read(node.path("placements")), PartCrashesJson.read(node.path("partCrashes")), cold,
				EvacuationsJson.read(node.path(EVACUATIONS))));
	}

	// A message of a former version has no era, so its state is never newer than that of
	// a directory that tells its era.
	private static Directory.Freshness freshness(JsonNode node) {
		DirectoryPosition known = new DirectoryPosition(node.path("era").asLong(), node.path("revision").asLong());
		return new Directory.Freshness(node.path("config").asLong(), known, known.at(node.path("changed").asLong()),
				node.path("ageMs").asLong());
	}

}

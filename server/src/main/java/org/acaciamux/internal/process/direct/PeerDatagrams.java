package org.acaciamux.internal.process.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciamux.internal.coordination.direct.CrashSuspects.Crashes;
import org.acaciamux.internal.coordination.direct.PartCrashes;
import org.acaciamux.internal.coordination.direct.PromptPart;

/**
 * Divides a message into datagrams that fit one packet each. A longer datagram is sent in
 * fragments, of which a lossy link loses some, and a receiver cuts it short if it exceeds
 * its buffer. Invariants: no datagram is longer than {@link #MAX_BYTES}; each entry is in
 * one datagram or, if it alone is too long for one, counted as left out. Immutable and
 * thread-safe.
 *
 * @param datagrams the datagrams, each with the sender's state, its evacuated domains and
 * a part of the entries
 * @param leftOut the number of entries that fit no datagram
 */
record PeerDatagrams(List<byte[]> datagrams, int leftOut) {

	/**
	 * Longest datagram in bytes: fits an Ethernet frame with the headers of IPv6 and UDP.
	 */
	static final int MAX_BYTES = 1_400;

	/**
	 * Encode a message.
	 * @param message the message
	 * @return the datagrams
	 */
	static PeerDatagrams of(PeerMessage message) {
		List<byte[]> datagrams = new ArrayList<>();
		return new PeerDatagrams(datagrams, addParts(message, datagrams));
	}

	// Returns the number of entries that are left out.
	private static int addParts(PeerMessage message, List<byte[]> datagrams) {
		byte[] bytes = message.encode();
		if (bytes.length <= MAX_BYTES) {
			datagrams.add(bytes);
			return 0;
		}
		int entries = entries(message);
		if (entries <= 1) {
			return entries;
		}
		return addParts(part(message, 0, entries / 2), datagrams)
				+ addParts(part(message, entries / 2, entries), datagrams);
	}

	private static int entries(PeerMessage message) {
		return message.inFlight().size() + message.crashes().size() + message.leavingServers().size()
				+ message.partCrashes().size() + message.cold().size()
				+ message.placements().values().stream().mapToInt(List::size).sum();
	}

	private static PeerMessage part(PeerMessage message, int from, int to) {
		Map<String, Integer> inFlight = new HashMap<>();
		Map<Long, Crashes> crashes = new HashMap<>();
		Set<String> leavingServers = new HashSet<>();
		Map<String, List<List<PromptPart>>> placements = new HashMap<>();
		Map<String, PartCrashes> partCrashes = new HashMap<>();
		Map<String, Long> cold = new HashMap<>();
		int index = 0;
		for (Map.Entry<String, Integer> entry : message.inFlight().entrySet()) {
			if (index >= from && index < to) {
				inFlight.put(entry.getKey(), entry.getValue());
			}
			index++;
		}
		for (Map.Entry<Long, Crashes> entry : message.crashes().entrySet()) {
			if (index >= from && index < to) {
				crashes.put(entry.getKey(), entry.getValue());
			}
			index++;
		}
		for (Map.Entry<String, PartCrashes> entry : message.partCrashes().entrySet()) {
			if (index >= from && index < to) {
				partCrashes.put(entry.getKey(), entry.getValue());
			}
			index++;
		}
		for (Map.Entry<String, Long> entry : message.cold().entrySet()) {
			if (index >= from && index < to) {
				cold.put(entry.getKey(), entry.getValue());
			}
			index++;
		}
		for (String server : message.leavingServers()) {
			if (index >= from && index < to) {
				leavingServers.add(server);
			}
			index++;
		}
		for (Map.Entry<String, List<List<PromptPart>>> entry : message.placements().entrySet()) {
			for (List<PromptPart> prompt : entry.getValue()) {
				if (index >= from && index < to) {
					placements.computeIfAbsent(entry.getKey(), (server) -> new ArrayList<>()).add(prompt);
				}
				index++;
			}
		}
		return new PeerMessage(message.router(), message.peer(), message.domain(), message.answered(),
				message.unpacks(), message.incarnation(), message.sequence(), message.leaving(), message.freshness(),
				inFlight, crashes, leavingServers, placements, partCrashes, cold)
			.withEvacuations(message.evacuations());
	}

}

package org.acaciamux.internal.coordination.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks agents for a partition by rendezvous hashing: adding or losing one agent moves
 * only its share. Thread-safe; holds no state.
 */
final class PartitionRanking {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private PartitionRanking() {
	}

	static List<String> rank(String partition, Collection<String> agents) {
		Comparator<String> byScore = Comparator.comparingLong((agent) -> score(partition, agent));
		return agents.stream().sorted(byScore.thenComparing(Comparator.naturalOrder())).toList();
	}

	private static long score(String partition, String agent) {
		long hash = FNV_OFFSET;
		String text = partition + "/" + agent;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

}

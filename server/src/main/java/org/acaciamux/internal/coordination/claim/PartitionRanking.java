package org.acaciamux.internal.coordination.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.acaciamux.internal.state.StableHash;

/**
 * Ranks agents for a partition by rendezvous hashing: adding or removing an agent moves
 * only the partitions of that agent. Thread-safe; holds no state.
 */
final class PartitionRanking {

	private PartitionRanking() {
	}

	static List<String> rank(String partition, Collection<String> agents) {
		Comparator<String> byScore = Comparator.comparingLong((agent) -> score(partition, agent));
		return agents.stream().sorted(byScore.thenComparing(Comparator.naturalOrder())).toList();
	}

	private static long score(String partition, String agent) {
		return StableHash.of(partition, agent);
	}

}

package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.state.StableHash;

/**
 * Who watches the platform and who gets changes from whom. In each failure domain the
 * members are ordered by rendezvous rank; the first two watch, and the others hang below
 * them in heap order with fan-out 8. Members that take no new work have no place, so the
 * next ones move up. Every process computes the tree from its own view; views that differ
 * cost extra messages, never records. Immutable and thread-safe.
 */
public final class ConfigurationTree {

	/** Watchers in each failure domain. */
	public static final int WATCHERS = 2;

	/** Children of each process. */
	public static final int FAN_OUT = 8;

	/** Members at the top of the order that are tried when all above are silent. */
	private static final int FALLBACKS = 10;

	private final int position;

	private final List<Member> parents;

	private ConfigurationTree(int position, List<Member> parents) {
		this.position = position;
		this.parents = List.copyOf(parents);
	}

	/**
	 * Compute the place of a process.
	 * @param self the process
	 * @param members the members that it knows
	 * @return its place
	 */
	public static ConfigurationTree of(Member self, Collection<Member> members) {
		Map<String, List<Member>> domains = new TreeMap<>();
		domains.computeIfAbsent(self.failureDomain(), (domain) -> new ArrayList<>()).add(self);
		for (Member member : members) {
			if (member.state().acceptsWork() && !member.id().equals(self.id())) {
				domains.computeIfAbsent(member.failureDomain(), (domain) -> new ArrayList<>()).add(member);
			}
		}
		domains.values().forEach((list) -> list.sort(byRank()));
		List<Member> own = domains.get(self.failureDomain());
		int position = own.indexOf(self);
		Set<Member> parents = new LinkedHashSet<>();
		addAbove(own, position, parents);
		domains.forEach((domain, list) -> parents.addAll(list.subList(0, Math.min(WATCHERS, list.size()))));
		parents.remove(self);
		return new ConfigurationTree(position, new ArrayList<>(parents));
	}

	private static void addAbove(List<Member> own, int position, Set<Member> parents) {
		int above = position;
		while (above >= WATCHERS) {
			above = (above - WATCHERS) / FAN_OUT;
			parents.add(own.get(above));
		}
		parents.addAll(own.subList(0, Math.min(WATCHERS, own.size())));
		if (position >= WATCHERS) {
			parents.addAll(own.subList(0, Math.min(position, FALLBACKS)));
		}
	}

	private static Comparator<Member> byRank() {
		return Comparator.<Member>comparingLong((member) -> rank(member.failureDomain(), member.id()))
			.thenComparing(Member::id);
	}

	private static long rank(String domain, String id) {
		return StableHash.of(domain, id);
	}

	/**
	 * Return the place of the process in its failure domain.
	 * @return 0 for the first
	 */
	public int position() {
		return this.position;
	}

	/**
	 * Return whether the process watches the platform.
	 * @return whether its position is below {@link #WATCHERS}
	 */
	public boolean watcher() {
		return this.position < WATCHERS;
	}

	/**
	 * Return whom the process compares its records with, best first: its parent, the
	 * members above, other members at the top, and the watchers of the other failure
	 * domains. For a watcher, the other watchers.
	 * @return the members
	 */
	public List<Member> parents() {
		return this.parents;
	}

}

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
 * The replication tree as one process computes it: which processes watch the platform and
 * from which parent each process gets changes. In each failure domain the members are
 * ordered by rendezvous hash; the first two watch, and the others are placed below them
 * in heap order with fan-out 8. Members that take no new work are left out, so the next
 * ones move up. Every process computes the tree from its own view; differing views cost
 * extra messages, but lose no records. Immutable and thread-safe.
 */
public final class ConfigurationTree {

	/** Watchers in each failure domain. */
	public static final int WATCHERS = 2;

	/** Children of each process. */
	public static final int FAN_OUT = 8;

	/** First members of the domain that are tried when all ancestors are silent. */
	private static final int MAX_FALLBACKS = 10;

	private final int position;

	private final List<Member> parents;

	private ConfigurationTree(int position, List<Member> parents) {
		this.position = position;
		this.parents = List.copyOf(parents);
	}

	/**
	 * Compute the position and the parents of a process.
	 * @param self the process
	 * @param members the members that it knows
	 * @return the tree as seen from the process
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
		addAncestors(own, position, parents);
		domains.forEach((domain, list) -> parents.addAll(list.subList(0, Math.min(WATCHERS, list.size()))));
		parents.remove(self);
		return new ConfigurationTree(position, new ArrayList<>(parents));
	}

	private static void addAncestors(List<Member> own, int position, Set<Member> parents) {
		int ancestor = position;
		while (ancestor >= WATCHERS) {
			ancestor = (ancestor - WATCHERS) / FAN_OUT;
			parents.add(own.get(ancestor));
		}
		parents.addAll(own.subList(0, Math.min(WATCHERS, own.size())));
		if (position >= WATCHERS) {
			parents.addAll(own.subList(0, Math.min(position, MAX_FALLBACKS)));
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
	 * Return the position of the process in the order of its failure domain.
	 * @return the position, 0 for the first
	 */
	public int position() {
		return this.position;
	}

	/**
	 * Return whether the process watches the platform.
	 * @return whether its position is below {@link #WATCHERS}
	 */
	public boolean isWatcher() {
		return this.position < WATCHERS;
	}

	/**
	 * Return the members with which the process compares its records, best first: its
	 * parent, its further ancestors, the first members of its failure domain, and the
	 * watchers of the other failure domains. For a watcher, the other watchers.
	 * @return the members
	 */
	public List<Member> parents() {
		return this.parents;
	}

}

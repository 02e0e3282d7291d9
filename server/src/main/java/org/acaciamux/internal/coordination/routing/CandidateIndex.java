package org.acaciamux.internal.coordination.routing;

import java.util.List;

import org.agrona.collections.Long2LongHashMap;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.state.StableHash;

/**
 * The members of a pool that accept work, with the hashes of their ids. The hashes are
 * computed once and shared by all later lists with the same members, because a new list
 * appears with every change of a load. Invariant: {@code hashes[i]} belongs to
 * {@code members.get(positions[i])}. Immutable and thread-safe.
 */
final class CandidateIndex {

	private static final float LOAD_FACTOR = 0.55f;

	private static final int MISSING = -1;

	private final List<Member> members;

	private final int[] positions;

	private final long[] hashes;

	private final Long2LongHashMap slotByHash;

	/** Ids by position in the list; null for members that accept no work. */
	private final String[] ids;

	private CandidateIndex(List<Member> members, int[] positions, long[] hashes, Long2LongHashMap slotByHash,
			String[] ids) {
		this.members = members;
		this.positions = positions;
		this.hashes = hashes;
		this.slotByHash = slotByHash;
		this.ids = ids;
	}

	static CandidateIndex of(List<Member> members) {
		int[] positions = new int[eligible(members)];
		long[] hashes = new long[positions.length];
		String[] ids = new String[members.size()];
		Long2LongHashMap slots = new Long2LongHashMap(Math.max(8, positions.length * 2), LOAD_FACTOR, MISSING);
		int slot = 0;
		for (int i = 0; i < members.size(); i++) {
			Member member = members.get(i);
			if (!member.state().acceptsWork()) {
				continue;
			}
			ids[i] = member.id();
			positions[slot] = i;
			hashes[slot] = StableHash.of(member.id());
			slots.put(hashes[slot], slot);
			slot++;
		}
		return new CandidateIndex(members, positions, hashes, slots, ids);
	}

	private static int eligible(List<Member> members) {
		int count = 0;
		for (int i = 0; i < members.size(); i++) {
			count += members.get(i).state().acceptsWork() ? 1 : 0;
		}
		return count;
	}

	/**
	 * Return an index of a newer list, which shares the hashes of this index if the same
	 * members accept work.
	 * @param list the members
	 * @return the index
	 */
	CandidateIndex refresh(List<Member> list) {
		if (list == this.members) {
			return this;
		}
		if (!sameEligible(list)) {
			return of(list);
		}
		return new CandidateIndex(list, this.positions, this.hashes, this.slotByHash, this.ids);
	}

	private boolean sameEligible(List<Member> list) {
		if (list.size() != this.ids.length) {
			return false;
		}
		for (int i = 0; i < this.ids.length; i++) {
			Member member = list.get(i);
			String id = member.state().acceptsWork() ? member.id() : null;
			String known = this.ids[i];
			if (id != known && (id == null || !id.equals(known))) {
				return false;
			}
		}
		return true;
	}

	int size() {
		return this.hashes.length;
	}

	Member member(int slot) {
		return this.members.get(this.positions[slot]);
	}

	long hash(int slot) {
		return this.hashes[slot];
	}

	/**
	 * Find a member that accepts work.
	 * @param server the hash of its id
	 * @return its slot, -1 if there is none
	 */
	int slotOf(long server) {
		return (int) this.slotByHash.get(server);
	}

	/**
	 * Rank the members for a chat. The second is the highest ranked one outside the
	 * failure domain of the first, if there is one, so that a chat can continue after the
	 * loss of a domain; the others follow by weight.
	 * @param chat the chat's hash
	 * @param count the number of slots wanted, at least 1
	 * @param excluded the slot of a member to leave out, -1 for none
	 * @return the slots in order; fewer than wanted if the pool is smaller
	 */
	int[] rank(long chat, int count, int excluded) {
		CandidateRanking ranking = new CandidateRanking(this, count);
		long threshold = Long.MIN_VALUE;
		for (int slot = 0; slot < this.hashes.length; slot++) {
			long weight = StableHash.weight(chat, this.hashes[slot]);
			if (weight > threshold && slot != excluded) {
				threshold = ranking.offer(slot, weight);
			}
		}
		return ranking.order();
	}

}

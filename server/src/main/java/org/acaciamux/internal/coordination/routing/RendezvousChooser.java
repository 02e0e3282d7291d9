package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Ranks the servers of a pool by rendezvous hashing and puts servers that are believed to
 * hold the chat's context first. Invariants: all choosers that see the same members rank
 * them alike; a member is named at most once in a plan; only members that accept work are
 * named. Thread-safe. The methods take the lock of the table of recent chats, so callers
 * must not hold a lock of the same or a higher rank.
 */
public final class RendezvousChooser implements CandidateChooser {

	private static final int NONE = -1;

	/**
	 * Highest number of pools with an index. A further pool drops all indexes, which
	 * costs one rebuild for each pool in use.
	 */
	private static final int MAX_INDEXES = 256;

	private final Map<String, CandidateIndex> indexes = new ConcurrentHashMap<>();

	/** Number of plans made, which varies the overflow server from plan to plan. */
	private final AtomicLong plans = new AtomicLong();

	private final RecentChats recent;

	/**
	 * Create a chooser with the default number of recent chats.
	 */
	public RendezvousChooser() {
		this(new RecentChats(RecentChats.DEFAULT_CAPACITY));
	}

	/**
	 * Create a chooser.
	 * @param recent the recent chats of this router
	 */
	public RendezvousChooser(RecentChats recent) {
		this.recent = recent;
	}

	@Override
	public List<Trial> plan(PoolSpec pool, List<Member> members, String chat, Optional<String> holder) {
		CandidateIndex index = index(pool.name(), members);
		if (index.size() == 0) {
			return List.of();
		}
		long key = StableHash.of(pool.name(), chat);
		int holderSlot = holder.isPresent() ? index.slotOf(StableHash.of(holder.get())) : NONE;
		int lastSlot = index.slotOf(this.recent.serverOf(key));
		int[] ranked = index.rank(key, pool.candidates(), NONE);
		return new CandidateOrder(pool, index, holderSlot, lastSlot, ranked, key + this.plans.getAndIncrement())
			.trials();
	}

	@Override
	public void served(String pool, String chat, String server) {
		this.recent.note(StableHash.of(pool, chat), StableHash.of(server));
	}

	/**
	 * Find the server that a chat goes to when its server stops accepting work, so that
	 * the leaving server can hand over the chat's context.
	 * @param pool the pool's settings
	 * @param members the pool's agents
	 * @param chat the identity of the chat
	 * @param without the id of the server that leaves
	 * @return the first candidate among the others, empty if no other member accepts work
	 */
	public Optional<Member> nextCandidate(PoolSpec pool, List<Member> members, String chat, String without) {
		CandidateIndex index = index(pool.name(), members);
		int leaving = index.slotOf(StableHash.of(without));
		int[] ranked = index.rank(StableHash.of(pool.name(), chat), 1, leaving);
		return (ranked.length > 0) ? Optional.of(index.member(ranked[0])) : Optional.empty();
	}

	/**
	 * Rank the servers of a pool for a chat, without hints and loads.
	 * @param pool the pool's name
	 * @param members the pool's agents
	 * @param chat the identity of the chat
	 * @param count how many servers are wanted, at least 1
	 * @return the servers in order; fewer than wanted if fewer accept work
	 */
	public List<Member> rank(String pool, List<Member> members, String chat, int count) {
		CandidateIndex index = index(pool, members);
		List<Member> ranked = new ArrayList<>(count);
		for (int slot : index.rank(StableHash.of(pool, chat), count, NONE)) {
			ranked.add(index.member(slot));
		}
		return ranked;
	}

	private CandidateIndex index(String pool, List<Member> members) {
		CandidateIndex known = this.indexes.get(pool);
		CandidateIndex index = (known != null) ? known.refresh(members) : CandidateIndex.of(members);
		if (index != known) {
			if (known == null && this.indexes.size() >= MAX_INDEXES) {
				this.indexes.clear();
			}
			this.indexes.put(pool, index);
		}
		return index;
	}

}

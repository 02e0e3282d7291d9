package org.acaciamux.examples.bench.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.routing.CandidateChooser.Trial;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * A way to order the servers for a request. Stateless; state is in the router.
 */
interface Way {

	/** Servers that the bounded hash tries before it queues. */
	int WALK = 8;

	/**
	 * Order the servers to try.
	 * @param router what the router knows
	 * @param pool the pool's settings
	 * @param chat the chat
	 * @param token the server in the caller's token, null if there is none
	 * @return the servers in order
	 */
	List<Member> plan(RouterModel router, PoolSpec pool, String chat, String token);

	static List<Member> hash(RouterModel router, PoolSpec pool, String chat, String token) {
		return router.chooser.rank(pool.name(), router.members(), chat, 1);
	}

	static List<Member> walk(RouterModel router, PoolSpec pool, String chat, String token) {
		return router.chooser.rank(pool.name(), router.members(), chat, WALK);
	}

	static List<Member> twoRandom(RouterModel router, PoolSpec pool, String chat, String token) {
		List<Member> members = router.members();
		int first = router.random.nextInt(members.size());
		int second = (first + 1 + router.random.nextInt(members.size() - 1)) % members.size();
		return lighterFirst(members.get(first), members.get(second));
	}

	static List<Member> lighterOfTwo(RouterModel router, PoolSpec pool, String chat, String token) {
		List<Member> two = router.chooser.rank(pool.name(), router.members(), chat, 2);
		return lighterFirst(two.get(0), two.get(1));
	}

	static List<Member> warmOfTwo(RouterModel router, PoolSpec pool, String chat, String token) {
		List<Member> two = router.chooser.rank(pool.name(), router.members(), chat, 2);
		long holder = router.believedHolder(pool.name(), chat, token);
		boolean secondWarm = StableHash.of(two.get(1).id()) == holder;
		Member warm = two.get(secondWarm ? 1 : 0);
		Member other = two.get(secondWarm ? 0 : 1);
		boolean over = warm.load() + 1 > router.believedLimit(pool.loadBound());
		return over ? List.of(other, warm) : List.of(warm, other);
	}

	static List<Member> chosen(RouterModel router, PoolSpec pool, String chat, String token) {
		List<Trial> trials = router.chooser.plan(pool, router.members(), chat, Optional.ofNullable(token));
		List<Member> members = new ArrayList<>(trials.size());
		trials.forEach((trial) -> members.add(trial.member()));
		return members;
	}

	private static List<Member> lighterFirst(Member one, Member other) {
		return (other.load() < one.load()) ? List.of(other, one) : List.of(one, other);
	}

}

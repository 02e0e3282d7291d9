package org.acaciamux.examples.bench.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.routing.CandidateChooser.Trial;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * A strategy that chooses the backend servers for a request and their order. Stateless;
 * the state is in the {@link RouterState}. The strategies are
 * <ul>
 * <li>{@code hash}: the server with the highest rendezvous weight for the chat</li>
 * <li>{@code boundedHash}: the servers with the highest weights, tried in turn</li>
 * <li>{@code twoRandom}: two random servers, the one with the lower load first</li>
 * <li>{@code lighterOfTwo}: the two servers with the highest weights, the one with the
 * lower load first</li>
 * <li>{@code warmOfTwo}: the two servers with the highest weights; first the one that, as
 * far as the router knows, holds the chat's context, unless its load has reached the
 * limit</li>
 * <li>{@code chooserPlan}: the plan of the router's {@code RendezvousChooser}</li>
 * </ul>
 */
interface PlacementStrategy {

	/** Servers that the bounded hash tries before the request is queued. */
	int MAX_HASH_TRIALS = 8;

	/**
	 * Choose the servers to try.
	 * @param router the state of the router that received the request
	 * @param pool the pool's settings
	 * @param chat the chat
	 * @param token the server in the caller's token, null if there is none
	 * @return the servers in the order in which they are tried
	 */
	List<Member> plan(RouterState router, PoolSpec pool, String chat, String token);

	static List<Member> hash(RouterState router, PoolSpec pool, String chat, String token) {
		return router.chooser.rank(pool.name(), router.members(), chat, 1);
	}

	static List<Member> boundedHash(RouterState router, PoolSpec pool, String chat, String token) {
		return router.chooser.rank(pool.name(), router.members(), chat, MAX_HASH_TRIALS);
	}

	static List<Member> twoRandom(RouterState router, PoolSpec pool, String chat, String token) {
		List<Member> members = router.members();
		int first = router.random.nextInt(members.size());
		int second = (first + 1 + router.random.nextInt(members.size() - 1)) % members.size();
		return lighterFirst(members.get(first), members.get(second));
	}

	static List<Member> lighterOfTwo(RouterState router, PoolSpec pool, String chat, String token) {
		List<Member> two = router.chooser.rank(pool.name(), router.members(), chat, 2);
		return lighterFirst(two.get(0), two.get(1));
	}

	static List<Member> warmOfTwo(RouterState router, PoolSpec pool, String chat, String token) {
		List<Member> two = router.chooser.rank(pool.name(), router.members(), chat, 2);
		long holder = router.believedHolder(pool.name(), chat, token);
		boolean secondWarm = StableHash.of(two.get(1).id()) == holder;
		Member warm = two.get(secondWarm ? 1 : 0);
		Member other = two.get(secondWarm ? 0 : 1);
		boolean over = warm.load() + 1 > router.believedLimit(pool.loadBound());
		return over ? List.of(other, warm) : List.of(warm, other);
	}

	static List<Member> chooserPlan(RouterState router, PoolSpec pool, String chat, String token) {
		List<Trial> trials = router.chooser.plan(pool, router.members(), chat, Optional.ofNullable(token));
		List<Member> members = new ArrayList<>(trials.size());
		trials.forEach((trial) -> members.add(trial.member()));
		return members;
	}

	private static List<Member> lighterFirst(Member one, Member other) {
		return (other.load() < one.load()) ? List.of(other, one) : List.of(one, other);
	}

}

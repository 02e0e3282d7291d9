package org.acaciamux.examples.bench.placement;

import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.routing.RecentChats;
import org.acaciamux.internal.coordination.routing.RendezvousChooser;
import org.acaciamux.internal.state.StableHash;

/**
 * What one router knows: a view of the pool that is taken now and then, the loads that
 * responses carried since, and its recent chats. Used by one thread.
 */
final class RouterModel {

	final RecentChats recent = new RecentChats(RecentChats.DEFAULT_CAPACITY);

	final RendezvousChooser chooser = new RendezvousChooser(this.recent);

	final RandomGenerator random;

	double nextView;

	private Member[] members;

	private List<Member> list;

	RouterModel(Member[] members, RandomGenerator random, double firstView) {
		this.random = random;
		this.nextView = firstView;
		takeView(members);
	}

	void takeView(Member[] view) {
		this.members = view.clone();
		this.list = Arrays.asList(this.members);
	}

	List<Member> members() {
		return this.list;
	}

	void loadOf(BackendModel server, int load) {
		change(server, (this.members[server.position].withLoad(load)));
	}

	void leaving(BackendModel server) {
		change(server, this.members[server.position].withState(MemberState.LEAVING));
	}

	private void change(BackendModel server, Member changed) {
		if (!changed.id().equals(server.id)) {
			return;
		}
		this.members[server.position] = changed;
		this.list = Arrays.asList(this.members);
	}

	/**
	 * Find the server that this router believes to hold a chat's context.
	 * @param pool the pool's name
	 * @param chat the chat
	 * @param token the server in the caller's token, null if there is none
	 * @return the hash of the server's id
	 */
	long believedHolder(String pool, String chat, String token) {
		return (token != null) ? StableHash.of(token) : this.recent.serverOf(StableHash.of(pool, chat));
	}

	/**
	 * Return the limit of the admission rule as this router sees it.
	 * @param bound the load bound
	 * @return the limit
	 */
	double believedLimit(double bound) {
		long sum = 0;
		for (Member member : this.members) {
			sum += Math.max(0, member.load());
		}
		return Math.ceil(bound * (sum + 1) / this.members.length);
	}

}

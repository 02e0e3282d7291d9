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
 * State of one simulated router: a view of the pool that is updated at intervals, the
 * loads that responses have carried since then, and the recent chats. Not thread-safe.
 */
final class RouterState {

	final RecentChats recent = new RecentChats(RecentChats.DEFAULT_CAPACITY);

	final RendezvousChooser chooser = new RendezvousChooser(this.recent);

	final RandomGenerator random;

	double nextView;

	private Member[] members;

	private List<Member> memberList;

	RouterState(Member[] members, RandomGenerator random, double firstView) {
		this.random = random;
		this.nextView = firstView;
		updateView(members);
	}

	void updateView(Member[] view) {
		this.members = view.clone();
		this.memberList = Arrays.asList(this.members);
	}

	List<Member> members() {
		return this.memberList;
	}

	void updateLoad(BackendModel server, int load) {
		replaceMember(server, (this.members[server.position].withLoad(load)));
	}

	void markLeaving(BackendModel server) {
		replaceMember(server, this.members[server.position].withState(MemberState.LEAVING));
	}

	private void replaceMember(BackendModel server, Member changed) {
		if (!changed.id().equals(server.id)) {
			return;
		}
		this.members[server.position] = changed;
		this.memberList = Arrays.asList(this.members);
	}

	/**
	 * Find the server that holds a chat's context, as far as this router knows.
	 * @param pool the pool's name
	 * @param chat the chat
	 * @param token the server in the caller's token, null if there is none
	 * @return the hash of the server's id, {@link RecentChats#UNKNOWN} if none is known
	 */
	long believedHolder(String pool, String chat, String token) {
		return (token != null) ? StableHash.of(token) : this.recent.serverOf(StableHash.of(pool, chat));
	}

	/**
	 * Return the limit of the admission rule, computed from the loads that this router
	 * knows.
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

package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.routing.CandidateChooser.Trial;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.state.record.PoolSpec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against chats that change servers needlessly, uneven shares of chats, routers
 * that rank servers differently, and plans with servers that accept no work.
 */
public class RendezvousChooserTests {

	private static final int SERVERS = 26;

	private static final int CHATS = 5_200;

	private static final PoolSpec POOL = PoolSpec.modelDefaults("assistant");

	private final RendezvousChooser chooser = new RendezvousChooser();

	@Test
	public void losingAServerMovesOnlyItsOwnChats() {
		List<Member> before = servers(SERVERS);
		List<Member> after = without(before, 7);
		for (int chat = 0; chat < CHATS; chat++) {
			String candidate = first(before, "chat-" + chat);
			if (!candidate.equals("vm-7")) {
				assertEquals(first(after, "chat-" + chat), candidate);
			}
		}
	}

	/**
	 * A router's view may count a request that has ended until the next view arrives, so
	 * a load difference of one request must not move a returning chat away from its
	 * context.
	 */
	@Test
	public void oneRequestOfStaleLoadDoesNotMoveAChat() {
		List<Member> idle = servers(3);
		for (int chat = 0; chat < 100; chat++) {
			String candidate = first(idle, "chat-" + chat);
			List<Member> stale = map(idle, (member) -> member.withLoad(member.id().equals(candidate) ? 1 : 0));
			assertEquals(this.chooser.plan(pool(0.5), stale, "chat-" + chat, Optional.empty()).get(0).member().id(),
					candidate);
		}
	}

	@Test
	public void chatsOfALostServerSpreadOverAllOthers() {
		List<Member> before = servers(SERVERS);
		List<Member> after = without(before, 7);
		Map<String, Integer> moved = new TreeMap<>();
		for (int chat = 0; chat < SERVERS * CHATS; chat++) {
			if (first(before, "chat-" + chat).equals("vm-7")) {
				moved.merge(first(after, "chat-" + chat), 1, Integer::sum);
			}
		}
		assertEquals(moved.size(), SERVERS - 1);
		int mean = CHATS / (SERVERS - 1);
		moved.values().forEach((count) -> assertTrue(count > mean / 2 && count < mean * 2, moved.toString()));
	}

	@Test
	public void serversGetEqualSharesOfChats() {
		Map<String, Integer> shares = new TreeMap<>();
		for (int chat = 0; chat < SERVERS * 1_000; chat++) {
			shares.merge(first(servers(SERVERS), "chat-" + chat), 1, Integer::sum);
		}
		assertEquals(shares.size(), SERVERS);
		shares.values().forEach((count) -> assertTrue(count > 850 && count < 1_150, shares.toString()));
	}

	@Test
	public void allRoutersRankAlikeWhateverTheOrderOfTheirLists() {
		List<Member> members = servers(SERVERS);
		List<Member> reversed = new ArrayList<>(members);
		Collections.reverse(reversed);
		RendezvousChooser other = new RendezvousChooser();
		for (int chat = 0; chat < CHATS; chat++) {
			assertEquals(this.chooser.rank("assistant", members, "chat-" + chat, 4),
					other.rank("assistant", reversed, "chat-" + chat, 4));
		}
	}

	@Test
	public void theSecondCandidateIsTheHighestRankedOneInAnotherDomain() {
		List<Member> members = servers(SERVERS);
		for (int chat = 0; chat < CHATS; chat++) {
			List<Member> all = byWeight(members, "chat-" + chat);
			Member expected = all.stream()
				.filter((member) -> !member.failureDomain().equals(all.get(0).failureDomain()))
				.findFirst()
				.orElseThrow();
			List<Member> ranked = this.chooser.rank("assistant", members, "chat-" + chat, 3);
			assertEquals(ranked.get(0), all.get(0));
			assertEquals(ranked.get(1), expected);
			assertEquals(ranked.get(2), expected.equals(all.get(1)) ? all.get(2) : all.get(1));
		}
	}

	@Test
	public void aPoolInOneDomainStillOffersTwoCandidates() {
		List<Member> members = map(servers(3), (member) -> member(member.id(), "a", MemberState.LIVE, 0));
		assertEquals(ids(this.chooser.plan(POOL, members, "chat", Optional.empty())).subList(0, 2),
				this.chooser.rank("assistant", members, "chat", 2).stream().map(Member::id).toList());
	}

	@Test
	public void membersThatAcceptNoWorkAreLeftOutEvenAsHolders() {
		List<Member> members = map(servers(SERVERS), (member) -> member.id().equals("vm-3")
				? member.withState(MemberState.LIVE) : member.withState(MemberState.LEAVING));
		List<Trial> plan = this.chooser.plan(POOL, members, "chat", Optional.of("vm-4"));
		assertEquals(ids(plan), List.of("vm-3"));
	}

	@Test
	public void aMemberThatStartsToLeaveIsLeftOutOfTheNextPlan() {
		List<Member> members = servers(SERVERS);
		String candidate = first(members, "chat");
		List<Member> later = map(members,
				(member) -> member.id().equals(candidate) ? member.withState(MemberState.LEAVING) : member);
		assertFalse(ids(this.chooser.plan(POOL, later, "chat", Optional.empty())).contains(candidate));
	}

	@Test
	public void anEmptyPoolGivesAnEmptyPlan() {
		assertTrue(this.chooser.plan(POOL, List.of(), "chat", Optional.of("vm-1")).isEmpty());
		assertTrue(this.chooser.nextCandidate(POOL, servers(1), "chat", "vm-0").isEmpty());
	}

	@Test
	public void theHolderNamedByTheCallerIsTriedBeforeTheRecentServer() {
		List<Member> members = servers(SERVERS);
		List<String> ranked = ids(this.chooser.plan(POOL, members, "chat", Optional.empty()));
		String holder = other(ranked, "none");
		String recent = other(ranked, holder);
		this.chooser.served("assistant", "chat", recent);
		List<Trial> plan = this.chooser.plan(POOL, members, "chat", Optional.of(holder));
		assertEquals(ids(plan).subList(0, 4), List.of(holder, recent, ranked.get(0), ranked.get(1)));
		assertTrue(plan.get(0).warm() && plan.get(1).warm() && !plan.get(2).warm());
	}

	@Test
	public void aDivertedChatReturnsToItsFirstCandidateUnlessThatIsMoreLoaded() {
		String candidate = first(servers(SERVERS), "chat");
		String holder = other(List.of(candidate), "none");
		assertEquals(firstOf(candidate, 8, holder, 8), candidate);
		assertEquals(firstOf(candidate, 9, holder, 8), holder);
		assertEquals(firstOf(candidate, -1, holder, 8), holder);
		assertEquals(firstOf(candidate, 8, holder, -1), holder);
	}

	private String firstOf(String candidate, int candidateLoad, String holder, int holderLoad) {
		List<Member> members = map(servers(SERVERS), (member) -> member
			.withLoad(member.id().equals(candidate) ? candidateLoad : member.id().equals(holder) ? holderLoad : 8));
		return this.chooser.plan(pool(1.0), members, "chat", Optional.of(holder)).get(0).member().id();
	}

	@Test
	public void hintsThatNameNoMemberAreIgnored() {
		List<Member> members = servers(SERVERS);
		List<Trial> plain = this.chooser.plan(POOL, members, "chat", Optional.empty()).subList(0, 2);
		this.chooser.served("assistant", "chat", "vm-gone");
		List<Trial> hinted = this.chooser.plan(POOL, members, "chat", Optional.of("\u0000 no such server"));
		assertEquals(hinted.subList(0, 2), plain);
	}

	@Test
	public void theNextCandidateIsTheServerThatGetsTheChatOnceItsServerLeaves() {
		List<Member> members = servers(SERVERS);
		for (int chat = 0; chat < CHATS; chat++) {
			String candidate = first(members, "chat-" + chat);
			List<Member> left = map(members,
					(member) -> member.id().equals(candidate) ? member.withState(MemberState.LEAVING) : member);
			Member next = this.chooser.nextCandidate(POOL, members, "chat-" + chat, candidate).orElseThrow();
			assertEquals(next.id(), first(left, "chat-" + chat));
			assertNotEquals(next.id(), candidate);
		}
	}

	@Test
	public void theOverflowOfOneChatReachesEveryServer() {
		List<Member> members = servers(SERVERS);
		Set<String> reached = new TreeSet<>();
		for (int i = 0; i < 50 * SERVERS; i++) {
			List<String> plan = ids(this.chooser.plan(POOL, members, "chat", Optional.empty()));
			assertEquals(new TreeSet<>(plan).size(), plan.size());
			reached.addAll(plan);
		}
		assertEquals(reached.size(), SERVERS);
	}

	@Test
	public void theReusePreferenceDecidesWhenALoadedHolderIsDisplaced() {
		assertEquals(firstOfLoadedHolder(0.0, 9, 8), "lighter");
		assertEquals(firstOfLoadedHolder(0.5, 12, 8), "holder");
		assertEquals(firstOfLoadedHolder(0.5, 13, 8), "lighter");
		assertEquals(firstOfLoadedHolder(1.0, 64, 0), "holder");
	}

	@Test
	public void aHolderIsNotDisplacedIfALoadIsUnknown() {
		assertEquals(firstOfLoadedHolder(0.0, -1, 0), "holder");
		assertEquals(firstOfLoadedHolder(0.0, 5, -1), "holder");
	}

	private String firstOfLoadedHolder(double preference, int holderLoad, int otherLoad) {
		String holder = first(servers(SERVERS), "chat");
		List<Member> members = map(servers(SERVERS),
				(member) -> member.withLoad(member.id().equals(holder) ? holderLoad : otherLoad));
		String first = this.chooser.plan(pool(preference), members, "chat", Optional.of(holder)).get(0).member().id();
		return first.equals(holder) ? "holder" : "lighter";
	}

	private static PoolSpec pool(double preference) {
		return new PoolSpec("assistant", true, true, 1.25, preference, 2, 64, 512, 30_000, 30_000, 16, 900_000, false,
				"", List.of());
	}

	private String first(List<Member> members, String chat) {
		return this.chooser.rank("assistant", members, chat, 1).get(0).id();
	}

	private static String other(List<String> ranked, String besides) {
		return servers(SERVERS).stream()
			.map(Member::id)
			.filter((id) -> !ranked.contains(id) && !id.equals(besides))
			.findFirst()
			.orElseThrow();
	}

	private static List<Member> byWeight(List<Member> members, String chat) {
		long key = StableHash.of("assistant", chat);
		List<Member> sorted = new ArrayList<>(members);
		sorted.sort((a, b) -> Long.compare(StableHash.weight(key, StableHash.of(b.id())),
				StableHash.weight(key, StableHash.of(a.id()))));
		return sorted;
	}

	private static List<String> ids(List<Trial> plan) {
		return plan.stream().map((trial) -> trial.member().id()).toList();
	}

	private static List<Member> servers(int count) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			members.add(member("vm-" + i, "domain-" + i % 4, MemberState.LIVE, 0));
		}
		return List.copyOf(members);
	}

	private static List<Member> without(List<Member> members, int index) {
		List<Member> left = new ArrayList<>(members);
		left.remove(index);
		return List.copyOf(left);
	}

	private static List<Member> map(List<Member> members, UnaryOperator<Member> change) {
		return members.stream().map(change).toList();
	}

	private static Member member(String id, String domain, MemberState state, int load) {
		return new Member(id, Member.AGENT, "127.0.0.1", 0, "tw-north", domain, "assistant", state, load);
	}

}

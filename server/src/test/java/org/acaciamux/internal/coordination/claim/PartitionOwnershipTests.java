package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.membership.MembershipView;
import org.acaciamux.internal.coordination.platform.FakeObjectStore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against partitions that two agents own, that stay with a lost or draining agent,
 * or that move needlessly, for instance while an agent is suspect for a moment or its
 * backend server is not ready.
 */
public class PartitionOwnershipTests {

	private static final String POOL = "pay";

	private static final int PARTITIONS = 16;

	private final FakeMembers members = new FakeMembers();

	private final Map<String, Agent> agents = new TreeMap<>();

	private FakeObjectStore store;

	private FakeRecords records;

	private long nowNanos;

	@BeforeMethod
	public void start() {
		this.store = new FakeObjectStore();
		this.records = FakeRecords.plain(POOL, PARTITIONS, 60_000, this.store);
		this.agents.clear();
		this.members.states.clear();
		this.members.networkLost = false;
		List.of("a1", "a2", "a3").forEach(this::join);
		advance(10_000);
	}

	@Test
	public void everyPartitionGetsTheOwnerOfTheHighestRank() {
		assertEquals(owners(), ranked(List.of("a1", "a2", "a3")));
	}

	@Test
	public void noPartitionIsOwnedTwice() {
		long owned = this.agents.values()
			.stream()
			.flatMap((agent) -> agent.ledger.states().stream())
			.filter((state) -> state == ClaimPartition.State.OWNED)
			.count();
		assertEquals(owned, PARTITIONS);
	}

	@Test
	public void partitionsOfALostOwnerMoveToTheOthers() {
		lose("a2");
		advance(15_000);
		assertEquals(owners(), ranked(List.of("a1", "a3")));
	}

	@Test
	public void anOwnerThatIsSuspectForAMomentKeepsItsPartitions() {
		List<String> before = owners();
		this.members.states.put("a2", MemberState.SUSPECT);
		advance(2_500);
		this.members.states.put("a2", MemberState.LIVE);
		advance(10_000);
		assertEquals(owners(), before);
	}

	@Test
	public void anAgentCutOffFromTheOthersTakesNoPartitions() {
		List<String> before = owners();
		this.members.networkLost = true;
		this.members.states.replaceAll((id, state) -> MemberState.SUSPECT);
		advance(60_000);
		assertEquals(owners(), before);
	}

	@Test
	public void aNewAgentGetsItsShareAfterTheHoldTimeAndNothingElseMoves() {
		List<String> before = owners();
		join("a4");
		advance(15_000);
		assertEquals(owners(), before);
		advance(60_000);
		assertEquals(owners(), ranked(List.of("a1", "a2", "a3", "a4")));
	}

	@Test
	public void aDrainHandsAllPartitionsOver() {
		this.agents.get("a1").ownership.drain();
		this.members.states.put("a1", MemberState.LEAVING);
		advance(10_000);
		assertTrue(this.agents.get("a1").ownership.drained());
		assertEquals(owners(), ranked(List.of("a2", "a3")));
	}

	@Test
	public void aServerThatIsNotReadyDoesNotMakePartitionsFlap() {
		this.agents.get("a1").backendReady = false;
		advance(30_000);
		int before = this.store.writes();
		advance(600_000);
		// A move takes six writes: seal, release, new owner, new segment, new list of
		// segments, and the deletion of the empty segment.
		int moves = (this.store.writes() - before) / 6;
		assertTrue(moves < 2 * PARTITIONS, moves + " moves");
		assertTrue(owners().stream().noneMatch("a1"::equals));
	}

	@Test
	public void aRestartedOwnerTakesItsPartitionsOverAtOnce() {
		List<String> before = owners();
		this.agents.put("a1", new Agent("a1", 77));
		advance(2_000);
		assertEquals(owners(), before);
		assertTrue(this.agents.get("a1").ledger.states().contains(ClaimPartition.State.OWNED));
	}

	@Test
	public void theNumberOfPartitionsStaysWhenTheRecordChanges() {
		this.records = FakeRecords.plain(POOL, 4, 60_000, this.store);
		this.agents.put("a1", new Agent("a1", 78));
		advance(5_000);
		assertEquals(this.agents.get("a1").ledger.partitionCount(), PARTITIONS);
	}

	@Test
	public void routersFindTheOwner() {
		String key = ClaimSimulation.key(1, 12345);
		int number = IdempotencyKey.parse(key).orElseThrow().partition(PARTITIONS);
		assertEquals(new RecordPartitionOwners(this.records).owner(this.records.spec(), key),
				Optional.of(owners().get(number)));
	}

	private void join(String vm) {
		this.members.states.put(vm, MemberState.LIVE);
		this.agents.put(vm, new Agent(vm, vm.hashCode()));
	}

	private void lose(String vm) {
		this.members.states.put(vm, MemberState.SUSPECT);
		this.agents.remove(vm);
	}

	private void advance(long millis) {
		for (long at = 0; at < millis; at += 100) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
			this.agents.values().forEach((agent) -> {
				agent.ledger.tick();
				agent.ownership.tick();
			});
		}
	}

	private List<String> owners() {
		List<String> owners = new ArrayList<>();
		for (int number = 0; number < PARTITIONS; number++) {
			owners.add(PartitionRecord.find(this.records, POOL, number).map(PartitionRecord::owner).orElse("none"));
		}
		return owners;
	}

	private static List<String> ranked(List<String> ids) {
		List<String> owners = new ArrayList<>();
		for (int number = 0; number < PARTITIONS; number++) {
			owners.add(PartitionRanking.rank(PartitionRecord.name(POOL, number), ids).get(0));
		}
		return owners;
	}

	private final class Agent {

		private final ClaimLedger ledger;

		private final PartitionOwnership ownership;

		private boolean backendReady = true;

		Agent(String vm, long incarnation) {
			FakeRecords view = PartitionOwnershipTests.this.records;
			this.ledger = new ClaimLedger(POOL, vm, incarnation, PartitionOwnershipTests.this.store.client(vm), view,
					() -> TimeUnit.NANOSECONDS.toMillis(PartitionOwnershipTests.this.nowNanos),
					() -> PartitionOwnershipTests.this.nowNanos, ClaimSettings.defaults(), new MetricRegistry());
			this.ownership = new PartitionOwnership(POOL, vm, incarnation, this.ledger, view,
					PartitionOwnershipTests.this.members, () -> this.backendReady,
					() -> PartitionOwnershipTests.this.nowNanos, new Random(incarnation), OwnershipSettings.defaults());
		}

	}

	private static final class FakeMembers implements MembershipView {

		private final Map<String, MemberState> states = new TreeMap<>();

		private boolean networkLost;

		@Override
		public List<Member> agents(String pool) {
			Set<String> ids = new TreeSet<>(this.states.keySet());
			return ids.stream().map((id) -> find(id).orElseThrow()).toList();
		}

		@Override
		public List<Member> routers() {
			return List.of();
		}

		@Override
		public Optional<Member> find(String id) {
			return Optional.ofNullable(this.states.get(id))
				.map((state) -> new Member(id, Member.AGENT, "127.0.0.1", 1, "r", "d", POOL, state, 0));
		}

		@Override
		public boolean ownNetworkLost() {
			return this.networkLost;
		}

	}

}

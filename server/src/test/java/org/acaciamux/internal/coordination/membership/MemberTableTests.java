package org.acaciamux.internal.coordination.membership;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against evicting or using members because of a single outdated view, and against
 * mass eviction when the own network is lost.
 */
public class MemberTableTests {

	private static final String POOL = "plans";

	private long nowMs;

	private MemberTable table;

	private MetricRegistry metrics;

	@BeforeMethod
	public void createTable() {
		this.nowMs = 1_000;
		this.metrics = new MetricRegistry();
		this.table = new MemberTable("r1", MembershipSettings.defaults(), () -> this.nowMs * 1_000_000, this.metrics);
		list(1, 12, -1);
	}

	@Test
	public void leavingWinsOverLaterHeartbeatsUntilANewIncarnation() {
		this.table.heardFrom("a1", 7);
		this.table.leaving("a1");
		this.table.heardFrom("a1", 7);
		assertEquals(state("a1"), MemberState.LEAVING);
		this.table.heardFrom("a1", 8);
		this.table.heardFrom("a1", 7);
		this.table.tick();
		this.table.heardFrom("a1", 8);
		assertEquals(state("a1"), MemberState.LIVE);
	}

	@Test
	public void aMemberThatTheVmListCallsLeavingGetsNoWorkAlthoughItIsHeardFrom() {
		this.table.heardFrom("a1", 7);
		list(2, 12, 1);
		this.table.heardFrom("a1", 7);
		assertEquals(state("a1"), MemberState.LEAVING);
	}

	@Test
	public void anOldVmListDoesNotUndoANewerOne() {
		list(3, 12, 1);
		list(2, 12, -1);
		assertEquals(state("a1"), MemberState.LEAVING);
	}

	@Test
	public void aFlappingMemberIsHeldOutForAGrowingBoundedTime() {
		List<Long> heldOut = new ArrayList<>();
		for (int loss = 0; loss < 10; loss++) {
			this.table.heardFrom("a1", 7);
			this.table.unreachable("a1");
			heldOut.add(timeUntilLive("a1"));
		}
		assertEquals(heldOut,
				List.of(100L, 1_000L, 2_000L, 4_000L, 8_000L, 16_000L, 32_000L, 60_000L, 60_000L, 60_000L));
	}

	@Test
	public void theHistoryOfPastMembersIsBounded() {
		list(2, 3_000, -1);
		for (int id = 0; id < 3_000; id++) {
			this.table.heardFrom("a" + id, 7);
			this.table.unreachable("a" + id);
			this.table.heardFrom("a" + id, 7);
		}
		list(3, 2, -1);
		this.nowMs += 20_000;
		this.table.tick();
		assertEquals(this.metrics.getGauges().get("acaciamux.membership.pastMembers").getValue(), 1_024);
		assertEquals(this.table.all().size(), 3);
	}

	@Test
	public void aMemberMissingFromTheListStaysWhileItIsHeardFrom() {
		hearAll();
		list(2, 2, -1);
		for (int second = 0; second < 20; second++) {
			this.nowMs += 1_000;
			this.table.heardFrom("a5", 7);
			this.table.tick();
		}
		assertEquals(state("a5"), MemberState.LIVE);
		assertTrue(this.table.find("a6").isEmpty());
	}

	@Test
	public void aSilentMemberIsSuspectedOnlyAfterAViewFromAnotherProcess() {
		hearAll();
		this.nowMs += 30_000;
		this.table.tick();
		assertEquals(state("a1"), MemberState.LIVE);
		this.table.viewReceived(POOL);
		this.table.heardFrom("a2", 7);
		this.table.tick();
		assertEquals(state("a2"), MemberState.LIVE);
	}

	@Test
	public void losingMostOfSeveralDomainsAtOnceEvictsNobody() {
		hearAll();
		for (int id = 0; id < 12; id++) {
			this.nowMs += 50;
			this.table.unreachable("a" + id);
		}
		assertTrue(this.table.ownNetworkLost());
		assertEquals(live(), 12);
		this.nowMs += 30_000;
		this.table.tick();
		assertEquals(live(), 12);
		hearAll();
		this.table.tick();
		assertFalse(this.table.ownNetworkLost());
		assertEquals(live(), 12);
	}

	@Test
	public void theLossOfOneDomainIsNotALossOfTheOwnNetwork() {
		hearAll();
		for (int id = 0; id < 12; id += 3) {
			this.table.unreachable("a" + id);
		}
		assertFalse(this.table.ownNetworkLost());
		assertEquals(live(), 8);
	}

	@Test
	public void domainsThatStaySilentWhileAnotherAnswersHaveFailedThemselves() {
		hearAll();
		for (int second = 0; second < 70; second++) {
			this.nowMs += 1_000;
			for (int id = 0; id < 12; id++) {
				if (id % 3 == 0) {
					this.table.heardFrom("a" + id, 7);
				}
				else {
					this.table.unreachable("a" + id);
				}
			}
			this.table.tick();
		}
		assertFalse(this.table.ownNetworkLost());
		assertEquals(live(), 4);
	}

	private long timeUntilLive(String id) {
		long start = this.nowMs;
		do {
			this.nowMs += 100;
			this.table.heardFrom(id, 7);
		}
		while (state(id) != MemberState.LIVE);
		return this.nowMs - start;
	}

	private void hearAll() {
		this.nowMs += 10;
		for (int id = 0; id < 12; id++) {
			this.table.heardFrom("a" + id, 7);
		}
	}

	private long live() {
		return this.table.agents(POOL).stream().filter((member) -> member.state() == MemberState.LIVE).count();
	}

	private MemberState state(String id) {
		return this.table.find(id).map(Member::state).orElse(MemberState.GONE);
	}

	private void list(long revision, int agents, int leaving) {
		List<VmEntry> vms = new ArrayList<>();
		vms.add(new VmEntry("r1", Member.ROUTER, "127.0.0.1", 1, 2, "tw-north", "d0", "", false));
		for (int id = 0; id < agents; id++) {
			vms.add(new VmEntry("a" + id, Member.AGENT, "127.0.0.1", 1, 0, "tw-north", "d" + id % 3, POOL,
					id == leaving));
		}
		this.table.vmList("all", new VmList(revision, vms));
	}

}

package org.acaciamux.internal.coordination.membership;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.SuspectEntry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a leaving agent that keeps getting work, a load bound computed from
 * wrong sums, and mass eviction when the own network is lost.
 */
public class LoadExchangeTests {

	/** Time until all processes know that an agent leaves, if at least one knows. */
	private static final long LEAVING_KNOWN_MS = 6_000;

	private final Logger events = Logger.getLogger(EventLog.class.getName());

	@BeforeClass
	public void muteEvents() {
		this.events.setLevel(Level.OFF);
	}

	@AfterClass
	public void unmuteEvents() {
		this.events.setLevel(null);
	}

	@DataProvider
	public Object[][] seeds() {
		long only = Long.getLong("acaciamux.seed", 0);
		if (only != 0) {
			return new Object[][] { { only } };
		}
		Object[][] seeds = new Object[30][];
		for (int i = 0; i < seeds.length; i++) {
			seeds[i] = new Object[] { (long) i + 1 };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	public void aLeavingAgentBecomesKnownToAllIfOneIsToldDuringFaults(long seed) {
		int agents = 3 + (int) (seed * 7 % 10);
		SimulatedPool pool = new SimulatedPool(seed, agents, 1 + (int) (seed % 3));
		pool.time.runFor(8_000);
		String leaving = "a" + pool.random.nextInt(agents);
		String informed = "a" + pool.random.nextInt(agents);
		pool.network.cut("a" + pool.random.nextInt(agents), SimulatedPool.ROUTER);
		for (int cut = 0; cut < agents / 4; cut++) {
			pool.network.cut("a" + pool.random.nextInt(agents), "a" + pool.random.nextInt(agents));
		}
		pool.listAsLeaving(informed, leaving);
		pool.time.runFor(LEAVING_KNOWN_MS);
		String restarted = "a" + pool.random.nextInt(agents);
		if (!restarted.equals(leaving)) {
			pool.stop(restarted);
			pool.start(restarted);
		}
		for (int step = 0; step < 100; step++) {
			pool.time.runFor(100);
			boolean justRestarted = step < LEAVING_KNOWN_MS / 100;
			pool.processes.keySet()
				.stream()
				.filter((id) -> !(justRestarted && id.equals(restarted)))
				.forEach((id) -> assertEquals(pool.state(id, leaving), MemberState.LEAVING,
						"seed " + seed + ": " + id + " about " + leaving));
		}
		assertTrue(pool.processes.get(leaving).exchange.toldLeaving() || informed.equals(leaving), "seed " + seed);
	}

	@Test(dataProvider = "seeds")
	public void afterFaultsEndAllProcessesAgreeOnTheLiveAgents(long seed) {
		int agents = 4 + (int) (seed * 5 % 9);
		SimulatedPool pool = new SimulatedPool(seed, agents, 1 + (int) (seed % 4));
		pool.time.runFor(5_000);
		for (int fault = 0; fault < 12; fault++) {
			String id = "a" + pool.random.nextInt(agents);
			switch (pool.random.nextInt(3)) {
				case 0 -> pool.network.cut(id, "a" + pool.random.nextInt(agents));
				case 1 -> pool.network.cut(id, SimulatedPool.ROUTER);
				default -> {
					pool.stop(id);
					pool.time.runFor(pool.random.nextInt(4_000));
					pool.start(id);
				}
			}
			pool.time.runFor(pool.random.nextInt(3_000));
		}
		String dead = "a" + pool.random.nextInt(agents);
		pool.stop(dead);
		pool.network.heal();
		pool.time.runFor(75_000);
		pool.processes.keySet().forEach((observer) -> {
			assertFalse(pool.processes.get(observer).members.ownNetworkLost(), "seed " + seed + " " + observer);
			pool.vms.stream().filter((vm) -> vm.role().equals(Member.AGENT)).forEach((vm) -> {
				boolean live = pool.state(observer, vm.id()) == MemberState.LIVE;
				assertEquals(live, !vm.id().equals(dead), "seed " + seed + ": " + observer + " about " + vm.id() + " "
						+ pool.state(observer, vm.id()) + ", dead is " + dead);
			});
		});
	}

	@Test
	public void theLoadOfThePoolIsTheSumOverTheOthers() {
		SimulatedPool pool = new SimulatedPool(1, 10, 3);
		for (int i = 0; i < 10; i++) {
			pool.processes.get("a" + i).load = i;
		}
		pool.time.runFor(5_000);
		assertEquals(pool.processes.get("a4").exchange.poolLoad(), new PoolLoadView.PoolLoad(10, 45 - 4, 9));
	}

	/**
	 * Guards against a load bound that falls in every round: with one of four failure
	 * domains lost and its members still counted, the rest could carry only 1.25 * 9 / 13
	 * of the load.
	 */
	@Test
	public void aLostMemberDoesNotCountOnceItIsSuspect() {
		SimulatedPool pool = new SimulatedPool(2, 3, 1);
		pool.processes.get("a2").load = 50;
		pool.time.runFor(5_000);
		pool.stop("a2");
		pool.time.runFor(4_000);
		assertEquals(pool.processes.get("a0").exchange.poolLoad(), new PoolLoadView.PoolLoad(2, 0, 1));
	}

	/**
	 * Guards against an agent that is cut off, regards itself as the whole pool and
	 * admits requests without a bound.
	 */
	@Test
	public void allMembersCountWithoutTheirStaleLoadWhileMostAreSuspect() {
		SimulatedPool pool = new SimulatedPool(2, 5, 1);
		pool.processes.get("a2").load = 50;
		pool.time.runFor(5_000);
		pool.isolate("a0");
		pool.time.runFor(6_000);
		assertEquals(pool.processes.get("a0").exchange.poolLoad(), new PoolLoadView.PoolLoad(5, 0, 0));
	}

	@Test
	public void aRouterThatIsCutOffKeepsItsViewAndReturns() {
		SimulatedPool pool = new SimulatedPool(3, 12, 3);
		pool.time.runFor(10_000);
		pool.isolate(SimulatedPool.ROUTER);
		pool.time.runFor(60_000);
		assertTrue(pool.processes.get(SimulatedPool.ROUTER).members.ownNetworkLost());
		assertTrue(liveAt(pool, SimulatedPool.ROUTER) >= 10, "live: " + liveAt(pool, SimulatedPool.ROUTER));
		pool.network.heal();
		pool.time.runFor(10_000);
		assertFalse(pool.processes.get(SimulatedPool.ROUTER).members.ownNetworkLost());
		assertEquals(liveAt(pool, SimulatedPool.ROUTER), 12);
	}

	@Test
	public void theTrafficOfAnAgentDoesNotGrowWithThePool() {
		long small = bytesPerAgentAndSecond(70);
		long large = bytesPerAgentAndSecond(210);
		assertTrue(large <= small * 11 / 10, small + " bytes with 70 agents, " + large + " with 210");
	}

	@Test
	public void crashSuspectsAreCarriedToOtherAgents() {
		SimulatedPool pool = new SimulatedPool(4, 6, 1);
		pool.processes.get("a0").suspects = List.of(SuspectEntry.newBuilder().setFingerprint(9).build());
		pool.time.runFor(5_000);
		assertTrue(pool.processes.values()
			.stream()
			.anyMatch((process) -> process.merged.contains(SuspectEntry.newBuilder().setFingerprint(9).build())));
	}

	private static long bytesPerAgentAndSecond(int agents) {
		SimulatedPool pool = new SimulatedPool(5, agents, 3);
		pool.time.runFor(5_000);
		long before = pool.network.bytes();
		pool.time.runFor(10_000);
		return (pool.network.bytes() - before) / 10 / agents;
	}

	private static long liveAt(SimulatedPool pool, String observer) {
		return pool.processes.get(observer).members.agents(SimulatedPool.POOL)
			.stream()
			.filter((member) -> member.state() == MemberState.LIVE)
			.count();
	}

}

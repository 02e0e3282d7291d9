package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

import com.fasterxml.jackson.databind.JsonNode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.FleetReport;
import org.acaciamux.internal.state.record.RecordKey;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards the single mechanisms of the spread: readiness in an outage, deletions and
 * lagging peers, lost watchers, the fleet status, and the shape of the tree.
 */
public class ConfigurationSyncTests {

	private final Logger events = Logger.getLogger(EventLog.class.getName());

	@BeforeClass
	public void muteEvents() {
		this.events.setLevel(Level.OFF);
	}

	@AfterClass
	public void unmuteEvents() {
		this.events.setLevel(null);
	}

	@Test
	public void aStartInAnOutageWaitsForHalfOfTheKnownPeers() {
		SpreadWorld world = new SpreadWorld(1, 6, 1);
		world.write("big", 2);
		world.time.runFor(10_000);
		world.isolate("vm0");
		world.time.runFor(6_000);
		world.write("big", 3);
		world.time.runFor(10_000);
		world.outage(true);
		world.network.heal();
		world.cutOff("vm0", (other) -> !"vm1".equals(other));
		world.cutOff("vm1", (other) -> !"vm0".equals(other));
		world.restart("vm1");
		world.time.runFor(60_000);
		assertFalse(world.processes.get("vm1").ready());
		world.network.heal();
		world.time.runFor(15_000);
		assertTrue(world.processes.get("vm1").ready());
		assertEquals(world.weight("vm1", "big"), 3);
	}

	@Test
	public void aDeletionOutlivesAPeerThatLaggedLongerThanTombstonesAreKept() {
		SpreadWorld world = new SpreadWorld(2, 4, 1);
		world.write("old", 7);
		world.time.runFor(10_000);
		String lagging = world.processes.keySet()
			.stream()
			.filter((id) -> !world.watchers().contains(id))
			.findFirst()
			.orElseThrow();
		world.isolate(lagging);
		world.time.runFor(6_000);
		world.delete("old");
		world.time.runFor(3_700_000);
		assertEquals(world.weight(lagging, "old"), 7);
		world.network.heal();
		world.outage(true);
		world.time.runFor(15_000);
		assertTrue(world.everyoneHas("old", 1));
	}

	@Test
	public void recordsArriveAlthoughBothWatchersOfADomainStopAtOnce() {
		SpreadWorld world = new SpreadWorld(3, 8, 2);
		world.time.runFor(10_000);
		List<String> watchers = world.watchers();
		watchers.stream()
			.filter((id) -> "d0".equals(world.members.get(id).failureDomain()))
			.toList()
			.forEach(world::stop);
		world.write("big", 9);
		world.time.runFor(7_000);
		assertTrue(world.everyoneHas("big", 9));
	}

	@Test
	public void aRestartInAnOutageAndALostDomainLeaveTheNewestVersionInForce() {
		SpreadWorld world = new SpreadWorld(4, 9, 3);
		world.time.runFor(10_000);
		world.write("big", 4);
		world.time.runFor(3_000);
		world.outage(true);
		List.of("vm0", "vm3", "vm6").forEach(world::stop);
		world.restart("vm1");
		world.time.runFor(20_000);
		assertTrue(world.processes.get("vm1").ready());
		assertEquals(world.weight("vm1", "big"), 4);
	}

	@Test
	public void theFleetStatusNamesTheLaggardAndIsWrittenAtMostEveryTwoSeconds() {
		SpreadWorld world = new SpreadWorld(5, 6, 1);
		world.platform.lostAnswers = 0.3;
		for (int second = 0; second < 60; second++) {
			world.write("big", 1 + second);
			world.time.runFor(1_000);
		}
		long written = world.platform.history.stream()
			.filter((change) -> FleetStatusWriter.KIND.equals(change.object().kind()))
			.count();
		assertTrue(written <= 31, "writes in 60 s: " + written);
		world.platform.lostAnswers = 0;
		long version = world.write("big", 99);
		world.time.runFor(10_000);
		JsonNode status = status(world);
		assertEquals(status.get("processes").asInt(), 6);
		assertTrue(status.get("lowestRevision").asLong() >= version);
	}

	@Test
	public void theSumOfReportsNamesTheProcessWithTheLowestRevision() {
		FleetAggregate aggregate = new FleetAggregate(8_000);
		aggregate.report("vm1", report("vm1", 7, 3), 0);
		aggregate.report("vm2", report("vm9", 4, 2), 0);
		FleetReport sum = aggregate.sum(report("vm0", 9, 1), 1_000);
		assertEquals(sum, report("vm9", 4, 6).toBuilder().setHighestRevision(9).build());
		assertEquals(aggregate.sum(report("vm0", 9, 1), 9_000), report("vm0", 9, 1));
	}

	/**
	 * Guards against a child that moved to another parent and is counted at both, with an
	 * old revision at the earlier one.
	 */
	@Test
	public void aWithdrawnReportCountsNoLonger() {
		FleetAggregate aggregate = new FleetAggregate(8_000);
		aggregate.report("vm1", report("vm1", 3, 1), 0);
		aggregate.report("vm1", FleetReport.getDefaultInstance(), 100);
		assertEquals(aggregate.sum(report("vm0", 9, 1), 200), report("vm0", 9, 1));
	}

	@Test
	public void controlTrafficOfAProcessStaysBelowItsShare() {
		SpreadWorld world = new SpreadWorld(6, 12, 1);
		world.time.runFor(10_000);
		long before = world.network.bytes();
		for (int second = 0; second < 60; second++) {
			world.write("big", 1 + second);
			world.time.runFor(1_000);
		}
		long perProcess = (world.network.bytes() - before) / 60 / 12;
		assertTrue(perProcess <= 1_000, "bytes per second and process: " + perProcess);
	}

	@Test
	public void everyTreeIsConnectedAndBoundedInDepthAndFanOut() {
		for (int size : new int[] { 1, 2, 3, 10, 100, 430 }) {
			List<Member> members = members(size);
			Map<String, String> parents = new HashMap<>();
			Map<String, Integer> children = new HashMap<>();
			for (Member self : members) {
				ConfigurationTree tree = ConfigurationTree.of(self, members);
				if (!tree.watcher()) {
					String parent = tree.parents().get(0).id();
					parents.put(self.id(), parent);
					children.merge(parent, 1, Integer::sum);
				}
			}
			assertEquals(parents.size(), Math.max(0, size - ConfigurationTree.WATCHERS));
			children.forEach((parent, count) -> assertTrue(count <= ConfigurationTree.FAN_OUT, parent + count));
			members.forEach((member) -> assertTrue(depth(member.id(), parents) <= 3, "depth with " + size));
		}
	}

	private static int depth(String id, Map<String, String> parents) {
		int depth = 0;
		for (String at = id; parents.containsKey(at) && depth <= parents.size(); at = parents.get(at)) {
			depth++;
		}
		return depth;
	}

	private static List<Member> members(int size) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			members.add(
					new Member("vm" + i, Member.ROUTER, "127.0.0.1", 1, "tw-north", "d0", "", MemberState.JOINING, -1));
		}
		return members;
	}

	private static FleetReport report(String laggard, long revision, int processes) {
		return FleetReport.newBuilder()
			.setFailureDomain("d0")
			.setLaggard(laggard)
			.setLowestRevision(revision)
			.setHighestRevision(revision)
			.setProcesses(processes)
			.build();
	}

	private static JsonNode status(SpreadWorld world) {
		return world.platform.objects.get(new RecordKey(FleetStatusWriter.KIND, "d0")).value();
	}

}

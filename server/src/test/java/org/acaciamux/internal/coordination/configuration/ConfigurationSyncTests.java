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
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Guards against processes that are ready with outdated records, deleted records that
 * return, records that do not arrive when watchers stop, a wrong fleet status, and trees
 * or control traffic beyond their limits.
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
		SimulatedFleet fleet = new SimulatedFleet(1, 6, 1);
		fleet.write("big", 2);
		fleet.time.runFor(10_000);
		fleet.isolate("vm0");
		fleet.time.runFor(6_000);
		fleet.write("big", 3);
		fleet.time.runFor(10_000);
		fleet.outage(true);
		fleet.network.heal();
		fleet.cutOff("vm0", (other) -> !"vm1".equals(other));
		fleet.cutOff("vm1", (other) -> !"vm0".equals(other));
		fleet.restart("vm1");
		fleet.time.runFor(60_000);
		assertFalse(fleet.processes.get("vm1").ready());
		fleet.network.heal();
		fleet.time.runFor(15_000);
		assertTrue(fleet.processes.get("vm1").ready());
		assertEquals(fleet.weight("vm1", "big"), 3);
	}

	/**
	 * The call stayed outstanding, so the process never called the platform again.
	 */
	@Test
	public void aWatchGoesOnAfterAnAnswerThatCannotBeApplied() {
		SimulatedFleet fleet = new SimulatedFleet(3, 1, 1);
		fleet.write("big", 2);
		fleet.time.runFor(10_000);
		fleet.platform.breakNextWatch = true;
		assertThrows(NullPointerException.class, () -> {
			fleet.write("big", 3);
			fleet.time.runFor(60_000);
		});
		fleet.time.runFor(60_000);
		fleet.write("big", 4);
		fleet.time.runFor(10_000);
		assertEquals(fleet.weight("vm0", "big"), 4);
	}

	@Test
	public void aDeletionOutlivesAPeerThatLaggedLongerThanTombstonesAreKept() {
		SimulatedFleet fleet = new SimulatedFleet(2, 4, 1);
		fleet.write("old", 7);
		fleet.time.runFor(10_000);
		String lagging = fleet.processes.keySet()
			.stream()
			.filter((id) -> !fleet.watchers().contains(id))
			.findFirst()
			.orElseThrow();
		fleet.isolate(lagging);
		fleet.time.runFor(6_000);
		fleet.delete("old");
		fleet.time.runFor(3_700_000);
		assertEquals(fleet.weight(lagging, "old"), 7);
		fleet.network.heal();
		fleet.outage(true);
		fleet.time.runFor(15_000);
		assertTrue(fleet.allHaveWeight("old", 1));
	}

	@Test
	public void recordsArriveAlthoughBothWatchersOfADomainStopAtOnce() {
		SimulatedFleet fleet = new SimulatedFleet(3, 8, 2);
		fleet.time.runFor(10_000);
		List<String> watchers = fleet.watchers();
		watchers.stream()
			.filter((id) -> "d0".equals(fleet.members.get(id).failureDomain()))
			.toList()
			.forEach(fleet::stop);
		fleet.write("big", 9);
		fleet.time.runFor(7_000);
		assertTrue(fleet.allHaveWeight("big", 9));
	}

	@Test
	public void aRestartInAnOutageAndALostDomainLeaveTheNewestVersionInForce() {
		SimulatedFleet fleet = new SimulatedFleet(4, 9, 3);
		fleet.time.runFor(10_000);
		fleet.write("big", 4);
		fleet.time.runFor(3_000);
		fleet.outage(true);
		List.of("vm0", "vm3", "vm6").forEach(fleet::stop);
		fleet.restart("vm1");
		fleet.time.runFor(20_000);
		assertTrue(fleet.processes.get("vm1").ready());
		assertEquals(fleet.weight("vm1", "big"), 4);
	}

	@Test
	public void theFleetStatusNamesTheLaggardAndIsWrittenAtMostEveryTwoSeconds() {
		SimulatedFleet fleet = new SimulatedFleet(5, 6, 1);
		fleet.platform.lostAnswers = 0.3;
		for (int second = 0; second < 60; second++) {
			fleet.write("big", 1 + second);
			fleet.time.runFor(1_000);
		}
		long written = fleet.platform.history.stream()
			.filter((change) -> FleetStatusWriter.KIND.equals(change.object().kind()))
			.count();
		assertTrue(written <= 31, "writes in 60 s: " + written);
		fleet.platform.lostAnswers = 0;
		long version = fleet.write("big", 99);
		fleet.time.runFor(10_000);
		JsonNode status = status(fleet);
		assertEquals(status.get("processes").asInt(), 6);
		assertTrue(status.get("lowestRevision").asLong() >= version);
	}

	@Test
	public void theSumOfReportsNamesTheProcessWithTheLowestRevision() {
		FleetAggregate aggregate = new FleetAggregate(8_000);
		aggregate.store("vm1", report("vm1", 7, 3), 0);
		aggregate.store("vm2", report("vm9", 4, 2), 0);
		FleetReport sum = aggregate.sum(report("vm0", 9, 1), 1_000);
		assertEquals(sum, report("vm9", 4, 6).toBuilder().setHighestRevision(9).build());
		assertEquals(aggregate.sum(report("vm0", 9, 1), 9_000), report("vm0", 9, 1));
	}

	/**
	 * Guards against counting a child that moved to another parent at both parents, with
	 * an old revision at the earlier one.
	 */
	@Test
	public void aWithdrawnReportCountsNoLonger() {
		FleetAggregate aggregate = new FleetAggregate(8_000);
		aggregate.store("vm1", report("vm1", 3, 1), 0);
		aggregate.store("vm1", FleetReport.getDefaultInstance(), 100);
		assertEquals(aggregate.sum(report("vm0", 9, 1), 200), report("vm0", 9, 1));
	}

	@Test
	public void controlTrafficOfAProcessStaysBelowItsShare() {
		SimulatedFleet fleet = new SimulatedFleet(6, 12, 1);
		fleet.time.runFor(10_000);
		long before = fleet.network.bytes();
		for (int second = 0; second < 60; second++) {
			fleet.write("big", 1 + second);
			fleet.time.runFor(1_000);
		}
		long perProcess = (fleet.network.bytes() - before) / 60 / 12;
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
				if (!tree.isWatcher()) {
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

	private static JsonNode status(SimulatedFleet fleet) {
		return fleet.platform.objects.get(new RecordKey(FleetStatusWriter.KIND, "d0")).value();
	}

}

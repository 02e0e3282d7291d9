package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.platform.ObjectStore.Change;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordKinds;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against records that go back, are lost or come into force at different times,
 * under outages, restarts, cut links, lost answers and racing operators together. The
 * checks read only the history of the store and what each process had in force when.
 */
public class ConfigurationSpreadTests {

	/** Platform calls in any second that the spread may make for one failure domain. */
	private static final int CALLS_PER_SECOND_AND_DOMAIN = 40;

	/** Time from the end of all faults until everyone holds everything. */
	private static final long CONVERGENCE_MS = 15_000;

	private final Logger events = Logger.getLogger(EventLog.class.getName());

	private VirtualTime time;

	private Random random;

	private FakePlatform platform;

	private FakeNetwork network;

	private Map<String, Member> members;

	private Map<String, SpreadParticipant> processes;

	private Map<RecordKey, Long> floor;

	private long seed;

	@BeforeClass
	public void muteEvents() {
		this.events.setLevel(Level.OFF);
	}

	@AfterClass
	public void unmuteEvents() {
		this.events.setLevel(null);
	}

	private void createWorld(long worldSeed, int size, int domains) {
		this.seed = worldSeed;
		this.random = new Random(worldSeed);
		this.time = new VirtualTime();
		this.platform = new FakePlatform(this.time, this.random);
		this.network = new FakeNetwork(this.time, this.random);
		this.members = new TreeMap<>();
		this.processes = new TreeMap<>();
		this.floor = Map.of();
		List<VmEntry> vms = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			VmEntry vm = new VmEntry("vm" + i, Member.AGENT, "127.0.0.1", 1, 0, "tw-north", "d" + i % domains, "plans",
					false);
			vms.add(vm);
			this.members.put(vm.id(), new Member(vm.id(), vm.role(), vm.address(), 1, vm.region(), vm.failureDomain(),
					vm.pool(), MemberState.JOINING, -1));
		}
		this.platform.vms = new VmList(1, vms);
		this.members.keySet().forEach(this::start);
	}

	private void start(String id) {
		List<Member> seeds = new ArrayList<>(this.members.values());
		seeds.remove(this.members.get(id));
		this.processes.put(id, new SpreadParticipant(this.members.get(id), seeds, this.platform, this.network,
				this.time, this.random));
	}

	private void restart(String id) {
		this.processes.remove(id).kill(this.network);
		start(id);
	}

	@DataProvider
	public Object[][] seeds() {
		long only = Long.getLong("acaciamux.seed", 0);
		if (only != 0) {
			return new Object[][] { { only } };
		}
		Object[][] seeds = new Object[60][];
		for (int i = 0; i < seeds.length; i++) {
			seeds[i] = new Object[] { (long) i + 1 };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	public void noVersionGoesBackAndAllConvergeUnderCombinedFaults(long worldSeed) {
		int domains = 1 + (int) (worldSeed % 3);
		createWorld(worldSeed, 3 + (int) (worldSeed * 7 % 10), domains);
		run(10_000, () -> {
		});
		run(40_000, this::injectFault);
		this.platform.down = false;
		this.platform.vmsDown = false;
		this.platform.lostAnswers = 0;
		this.network.heal();
		this.time.runFor(CONVERGENCE_MS);
		this.processes.forEach((id, process) -> {
			assertTrue(process.ready(), context(id) + "is not ready");
			assertEquals(process.live(), stored(),
					context(id) + "differs from the store; " + process.sync().dump() + process.live() + stored());
		});
		assertTrue(mostCallsInASecond() <= CALLS_PER_SECOND_AND_DOMAIN * domains,
				"seed " + this.seed + " calls " + mostCallsInASecond());
	}

	private void run(long durationMs, Runnable fault) {
		for (long passed = 0; passed < durationMs; passed += 100) {
			if (this.random.nextInt(8) == 0) {
				operate();
			}
			fault.run();
			this.time.runFor(100);
			checkReadiness();
			this.processes.values().forEach(this::checkAgainstHistory);
		}
	}

	private void injectFault() {
		int choice = this.random.nextInt(400);
		if (choice < 8) {
			setOutage(!this.platform.down);
		}
		else if (choice < 16) {
			restart(anyone());
		}
		else if (choice < 24) {
			this.network.cut(anyone(), anyone());
		}
		else if (choice < 28) {
			this.network.heal();
		}
		else if (choice < 32) {
			this.platform.lostAnswers = this.random.nextInt(3) * 0.2;
		}
		else if (choice < 36) {
			this.platform.forgetHistory();
		}
	}

	private void setOutage(boolean down) {
		if (down) {
			this.floor = inForceEverywhere();
		}
		this.platform.down = down;
		this.platform.vmsDown = down && this.random.nextBoolean();
	}

	/** Two operators that read the same version race; at most one of them writes. */
	private void operate() {
		if (this.platform.down) {
			return;
		}
		String name = "p" + this.random.nextInt(4);
		RecordKey key = new RecordKey(
				this.random.nextBoolean() ? RecordKinds.CLAIM_PARTITION : RecordKinds.ORGANISATION, name);
		StoredObject read = this.platform.objects.get(key);
		long version = (read != null) ? read.version() : 0;
		for (int operator = 0; operator < 2; operator++) {
			boolean delete = read != null && this.random.nextInt(4) == 0;
			this.platform.write(key.kind(), name, version,
					delete ? Optional.empty()
							: Optional.of(JsonNodeFactory.instance.objectNode()
								.put("apiVersion", "acaciamux/v1")
								.put("kind", key.kind())
								.put("name", name)
								.set("spec", JsonNodeFactory.instance.objectNode().put("weight", 1 + operator))));
		}
	}

	private String anyone() {
		return List.copyOf(this.members.keySet()).get(this.random.nextInt(this.members.size()));
	}

	private Map<RecordKey, Long> inForceEverywhere() {
		Map<RecordKey, Long> lowest = new HashMap<>();
		this.platform.history.stream()
			.map(ConfigurationSpreadTests::key)
			.forEach((key) -> lowest.put(key,
					this.processes.values()
						.stream()
						.filter(SpreadParticipant::ready)
						.mapToLong((process) -> process.versions.getOrDefault(key, 0L))
						.min()
						.orElse(0)));
		return lowest;
	}

	private void checkReadiness() {
		if (!this.platform.down) {
			return;
		}
		this.processes.forEach((id, process) -> {
			if (process.ready()) {
				this.floor.forEach((key, version) -> {
					long held = process.live().getOrDefault(key, process.records.completeRevision());
					assertTrue(held >= version, context(id) + "is ready with " + key + " at " + held + ", but version "
							+ version + " was in force everywhere before the outage");
				});
			}
		});
	}

	private void checkAgainstHistory(SpreadParticipant process) {
		process.live().forEach((key, version) -> {
			boolean written = this.platform.history.stream()
				.anyMatch((change) -> !change.deleted() && key(change).equals(key)
						&& change.object().version() == version);
			assertTrue(written, "seed " + this.seed + " version " + version + " of " + key + " was never written");
		});
	}

	private static RecordKey key(Change change) {
		return new RecordKey(change.object().kind(), change.object().name());
	}

	private Map<RecordKey, Long> stored() {
		Map<RecordKey, Long> stored = new HashMap<>();
		this.platform.objects.forEach((key, object) -> {
			if (RecordKinds.WATCHED.contains(key.kind())) {
				stored.put(key, object.version());
			}
		});
		return stored;
	}

	private int mostCallsInASecond() {
		List<Long> calls = this.platform.callsAtMs;
		int most = 0;
		int start = 0;
		for (int end = 0; end < calls.size(); end++) {
			while (calls.get(end) - calls.get(start) >= 1_000) {
				start++;
			}
			most = Math.max(most, end - start + 1);
		}
		return most;
	}

	private String context(String id) {
		return "seed " + this.seed + " at " + this.time.nowMs() + " ms: " + id + " ";
	}

}

package org.acaciamux.internal.coordination.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.platform.ObjectStore.Change;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordKinds;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against records that go back to an older version, are lost or stay different
 * between processes under combined outages, restarts, cut links, lost answers and
 * concurrent writes. The checks read only the history of the store and the versions that
 * each process had in force.
 */
public class ConfigurationSpreadTests {

	/**
	 * Most platform calls that the replication may make in any second per failure domain.
	 */
	private static final int CALLS_PER_SECOND_AND_DOMAIN = 30;

	/** Time from the end of all faults until every process holds all records. */
	private static final long CONVERGENCE_MS = 15_000;

	private final Logger events = Logger.getLogger(EventLog.class.getName());

	private SimulatedFleet fleet;

	private Map<RecordKey, Long> versionsBeforeOutage;

	private long seed;

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
		Object[][] seeds = new Object[40][];
		for (int i = 0; i < seeds.length; i++) {
			seeds[i] = new Object[] { (long) i + 1 };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	public void noVersionGoesBackAndAllConvergeUnderCombinedFaults(long fleetSeed) {
		int domains = 1 + (int) (fleetSeed % 3);
		this.seed = fleetSeed;
		this.versionsBeforeOutage = Map.of();
		this.fleet = new SimulatedFleet(fleetSeed, 3 + (int) (fleetSeed * 7 % 10), domains);
		run(10_000, () -> {
		});
		run(40_000, this::injectFault);
		this.fleet.outage(false);
		this.fleet.platform.lostAnswers = 0;
		this.fleet.network.heal();
		this.fleet.time.runFor(CONVERGENCE_MS);
		this.fleet.processes.forEach((id, process) -> {
			assertTrue(process.ready(), context(id) + "is not ready");
			assertEquals(process.live(), this.fleet.stored(),
					context(id) + "differs from the store; " + process.sync().dump());
		});
		assertTrue(mostCallsInASecond() <= CALLS_PER_SECOND_AND_DOMAIN * domains,
				"seed " + this.seed + " calls " + mostCallsInASecond());
	}

	private void run(long durationMs, Runnable fault) {
		for (long passed = 0; passed < durationMs; passed += 100) {
			if (this.fleet.random.nextInt(8) == 0) {
				writeConcurrently();
			}
			fault.run();
			this.fleet.time.runFor(100);
			checkReadiness();
			this.fleet.processes.values().forEach(this::checkAgainstHistory);
		}
	}

	private void injectFault() {
		int choice = this.fleet.random.nextInt(400);
		if (choice < 8) {
			setOutage(!this.fleet.platform.down);
		}
		else if (choice < 16) {
			this.fleet.restart(randomMember());
		}
		else if (choice < 24) {
			this.fleet.network.cut(randomMember(), randomMember());
		}
		else if (choice < 28) {
			this.fleet.network.heal();
		}
		else if (choice < 32) {
			this.fleet.platform.lostAnswers = this.fleet.random.nextInt(3) * 0.2;
		}
		else if (choice < 36) {
			this.fleet.platform.forgetHistory();
		}
	}

	private void setOutage(boolean down) {
		if (down) {
			this.versionsBeforeOutage = versionsInForceEverywhere();
		}
		this.fleet.platform.down = down;
		this.fleet.platform.vmsDown = down && this.fleet.random.nextBoolean();
	}

	// Two operators have read the same version; at most one of their writes succeeds.
	private void writeConcurrently() {
		if (this.fleet.platform.down) {
			return;
		}
		String name = "p" + this.fleet.random.nextInt(4);
		RecordKey key = new RecordKey(
				this.fleet.random.nextBoolean() ? RecordKinds.CLAIM_PARTITION : RecordKinds.ORGANISATION, name);
		StoredObject read = this.fleet.platform.objects.get(key);
		long version = (read != null) ? read.version() : 0;
		for (int operator = 0; operator < 2; operator++) {
			boolean delete = read != null && this.fleet.random.nextInt(4) == 0;
			this.fleet.platform.write(key.kind(), name, version, delete ? Optional.empty()
					: Optional.of(SimulatedFleet.recordValue(key.kind(), name, 1 + operator)));
		}
	}

	private String randomMember() {
		List<String> ids = List.copyOf(this.fleet.members.keySet());
		return ids.get(this.fleet.random.nextInt(ids.size()));
	}

	private Map<RecordKey, Long> versionsInForceEverywhere() {
		Map<RecordKey, Long> lowest = new HashMap<>();
		this.fleet.platform.history.stream()
			.map(ConfigurationSpreadTests::key)
			.forEach((key) -> lowest.put(key,
					this.fleet.processes.values()
						.stream()
						.filter(SimulatedProcess::ready)
						.mapToLong((process) -> process.inForceVersions.getOrDefault(key, 0L))
						.min()
						.orElse(0)));
		return lowest;
	}

	private void checkReadiness() {
		if (!this.fleet.platform.down) {
			return;
		}
		this.fleet.processes.forEach((id, process) -> {
			if (process.ready()) {
				this.versionsBeforeOutage.forEach((key, version) -> {
					long held = heldVersion(process, key);
					assertTrue(held >= version, context(id) + "is ready with " + key + " at " + held + ", but version "
							+ version + " was in force everywhere before the outage");
				});
			}
		});
	}

	// A deletion is known from a tombstone or from a listing without the record.
	private static long heldVersion(SimulatedProcess process, RecordKey key) {
		Long live = process.live().get(key);
		long deleted = Math.max(process.inForceVersions.getOrDefault(key, 0L), process.records.completeRevision());
		return (live != null) ? live : deleted;
	}

	private void checkAgainstHistory(SimulatedProcess process) {
		process.live().forEach((key, version) -> {
			boolean written = this.fleet.platform.history.stream()
				.anyMatch((change) -> !change.deleted() && key(change).equals(key)
						&& change.object().version() == version);
			assertTrue(written, "seed " + this.seed + " version " + version + " of " + key + " was never written");
		});
	}

	private static RecordKey key(Change change) {
		return new RecordKey(change.object().kind(), change.object().name());
	}

	private int mostCallsInASecond() {
		List<Long> calls = this.fleet.platform.callsAtMs;
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
		return "seed " + this.seed + " at " + this.fleet.time.nowMs() + " ms: " + id + " ";
	}

}

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
 * Guards against records that go back, are lost or come into force at different times,
 * under outages, restarts, cut links, lost answers and racing operators together. The
 * checks read only the history of the store and what each process had in force when.
 */
public class ConfigurationSpreadTests {

	/** Platform calls in any second that the spread may make for one failure domain. */
	private static final int CALLS_PER_SECOND_AND_DOMAIN = 30;

	/** Time from the end of all faults until everyone holds everything. */
	private static final long CONVERGENCE_MS = 15_000;

	private final Logger events = Logger.getLogger(EventLog.class.getName());

	private SpreadWorld world;

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
	public void noVersionGoesBackAndAllConvergeUnderCombinedFaults(long worldSeed) {
		int domains = 1 + (int) (worldSeed % 3);
		this.seed = worldSeed;
		this.floor = Map.of();
		this.world = new SpreadWorld(worldSeed, 3 + (int) (worldSeed * 7 % 10), domains);
		run(10_000, () -> {
		});
		run(40_000, this::injectFault);
		this.world.outage(false);
		this.world.platform.lostAnswers = 0;
		this.world.network.heal();
		this.world.time.runFor(CONVERGENCE_MS);
		this.world.processes.forEach((id, process) -> {
			assertTrue(process.ready(), context(id) + "is not ready");
			assertEquals(process.live(), this.world.stored(),
					context(id) + "differs from the store; " + process.sync().dump());
		});
		assertTrue(mostCallsInASecond() <= CALLS_PER_SECOND_AND_DOMAIN * domains,
				"seed " + this.seed + " calls " + mostCallsInASecond());
	}

	private void run(long durationMs, Runnable fault) {
		for (long passed = 0; passed < durationMs; passed += 100) {
			if (this.world.random.nextInt(8) == 0) {
				operate();
			}
			fault.run();
			this.world.time.runFor(100);
			checkReadiness();
			this.world.processes.values().forEach(this::checkAgainstHistory);
		}
	}

	private void injectFault() {
		int choice = this.world.random.nextInt(400);
		if (choice < 8) {
			setOutage(!this.world.platform.down);
		}
		else if (choice < 16) {
			this.world.restart(anyone());
		}
		else if (choice < 24) {
			this.world.network.cut(anyone(), anyone());
		}
		else if (choice < 28) {
			this.world.network.heal();
		}
		else if (choice < 32) {
			this.world.platform.lostAnswers = this.world.random.nextInt(3) * 0.2;
		}
		else if (choice < 36) {
			this.world.platform.forgetHistory();
		}
	}

	private void setOutage(boolean down) {
		if (down) {
			this.floor = inForceEverywhere();
		}
		this.world.platform.down = down;
		this.world.platform.vmsDown = down && this.world.random.nextBoolean();
	}

	// Two operators that read the same version race; at most one of them writes.
	private void operate() {
		if (this.world.platform.down) {
			return;
		}
		String name = "p" + this.world.random.nextInt(4);
		RecordKey key = new RecordKey(
				this.world.random.nextBoolean() ? RecordKinds.CLAIM_PARTITION : RecordKinds.ORGANISATION, name);
		StoredObject read = this.world.platform.objects.get(key);
		long version = (read != null) ? read.version() : 0;
		for (int operator = 0; operator < 2; operator++) {
			boolean delete = read != null && this.world.random.nextInt(4) == 0;
			this.world.platform.write(key.kind(), name, version,
					delete ? Optional.empty() : Optional.of(SpreadWorld.document(key.kind(), name, 1 + operator)));
		}
	}

	private String anyone() {
		List<String> ids = List.copyOf(this.world.members.keySet());
		return ids.get(this.world.random.nextInt(ids.size()));
	}

	private Map<RecordKey, Long> inForceEverywhere() {
		Map<RecordKey, Long> lowest = new HashMap<>();
		this.world.platform.history.stream()
			.map(ConfigurationSpreadTests::key)
			.forEach((key) -> lowest.put(key,
					this.world.processes.values()
						.stream()
						.filter(SpreadParticipant::ready)
						.mapToLong((process) -> process.versions.getOrDefault(key, 0L))
						.min()
						.orElse(0)));
		return lowest;
	}

	private void checkReadiness() {
		if (!this.world.platform.down) {
			return;
		}
		this.world.processes.forEach((id, process) -> {
			if (process.ready()) {
				this.floor.forEach((key, version) -> {
					long held = heldVersion(process, key);
					assertTrue(held >= version, context(id) + "is ready with " + key + " at " + held + ", but version "
							+ version + " was in force everywhere before the outage");
				});
			}
		});
	}

	// A deletion is held as a tombstone, or known from a listing that lacks the record.
	private static long heldVersion(SpreadParticipant process, RecordKey key) {
		Long live = process.live().get(key);
		long deleted = Math.max(process.versions.getOrDefault(key, 0L), process.records.completeRevision());
		return (live != null) ? live : deleted;
	}

	private void checkAgainstHistory(SpreadParticipant process) {
		process.live().forEach((key, version) -> {
			boolean written = this.world.platform.history.stream()
				.anyMatch((change) -> !change.deleted() && key(change).equals(key)
						&& change.object().version() == version);
			assertTrue(written, "seed " + this.seed + " version " + version + " of " + key + " was never written");
		});
	}

	private static RecordKey key(Change change) {
		return new RecordKey(change.object().kind(), change.object().name());
	}

	private int mostCallsInASecond() {
		List<Long> calls = this.world.platform.callsAtMs;
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
		return "seed " + this.seed + " at " + this.world.time.nowMs() + " ms: " + id + " ";
	}

}

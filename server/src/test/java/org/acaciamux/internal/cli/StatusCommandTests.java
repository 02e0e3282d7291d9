package org.acaciamux.internal.cli;

import java.util.concurrent.atomic.AtomicBoolean;

import org.agrona.concurrent.EpochClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a status that shows a fleet as healthy despite a stale report, a lagging
 * revision, a growing backlog or an unreported pool, or a healthy fleet as faulty.
 */
public class StatusCommandTests {

	private static final long NOW = 1_000_000;

	private FakeObjectApi api;

	@BeforeMethod
	public void start() {
		this.api = new FakeObjectApi();
	}

	@AfterMethod
	public void stop() {
		this.api.close();
	}

	@Test
	public void aFleetWithoutFaultsIsHealthy() {
		store("tw-north-a", NOW - 2_000, 41, 41, 0, 0);
		Run run = status();
		assertEquals(run.out().lines().findFirst().orElseThrow(), "healthy", run.out());
	}

	@Test
	public void aFleetThatReportsNothingIsNotHealthy() {
		assertReason("no failure domain has written a status");
	}

	/** Guards against showing a fleet with an outage as healthy and idle. */
	@Test
	public void aStaleStatusIsReported() {
		store("tw-north-a", NOW - 42_000, 41, 41, 0, 0);
		store("tw-north-b", NOW - 1_000, 41, 41, 0, 0);
		assertReason("failure domain tw-north-a: status is stale, written 42.0 s ago");
		assertFalse(status().out().contains("tw-north-b: status is stale"));
	}

	@Test
	public void aRevisionNotInForceEverywhereIsReportedWithItsLaggard() {
		store("tw-north-a", NOW, 41, 44, 0, 0);
		assertReason(
				"failure domain tw-north-a: configuration revision 44 is not in force everywhere after 7.0 s; lowest is 41, laggard router-7");
	}

	/** Guards against reporting a change as a fault while it is still being delivered. */
	@Test
	public void aRevisionThatArrivesWithinSecondsIsNoFault() {
		store("tw-north-a", NOW, 41, 44, 0, 0);
		this.api.queueWatchStep(() -> store("tw-north-a", NOW + 2_000, 44, 45, 0, 0));
		assertTrue(status().out().startsWith("healthy"));
	}

	@Test
	public void aGrowingBacklogIsReportedWithItsAge() {
		store("tw-north-a", NOW - 2_000, 41, 41, 12, 4_200);
		this.api.queueWatchStep(() -> store("tw-north-a", NOW, 41, 41, 30, 6_200));
		assertReason("backlog of pool stock-plans, organisation night-market, priority batch: grows, 30 waiting (+18),"
				+ " the oldest has waited 6.2 s");
	}

	@Test
	public void aShrinkingBacklogOfYoungRequestsIsNoFault() {
		store("tw-north-a", NOW - 2_000, 41, 41, 30, 1_000);
		this.api.queueWatchStep(() -> store("tw-north-a", NOW, 41, 41, 12, 900));
		Run run = status();
		assertTrue(run.out().startsWith("healthy"), run.out());
		assertTrue(run.out().contains("batch\t12\t0.9 s\t-18"), run.out());
	}

	@Test
	public void aPoolThatNoProcessReportsIsAFault() {
		store("tw-north-a", NOW, 41, 41, 0, 0);
		this.api.store("BackendPool", "orders", "{spec: {}}");
		assertReason("pool orders: has a record, but no process reports on it");
	}

	@Test
	public void poolsAreAddedUpOverFailureDomains() {
		store("tw-north-a", NOW, 41, 41, 0, 0);
		store("tw-north-b", NOW, 41, 41, 0, 0);
		String pools = status().out();
		assertTrue(pools.contains("stock-plans\t8\t16.00\t2.00\t5.00\t2.50\t0\t80.00 %\t"), pools);
		assertTrue(pools.contains("stock-plans\tload-bound\t6\tthe load bound is reached"), pools);
		assertTrue(pools.contains("leaving: agent-3"), pools);
	}

	/** Guards against a failing command when an older or newer writer omits fields. */
	@Test
	public void missingFieldsAreTolerated() {
		this.api.store(FleetView.KIND, "tw-north-a", "{updatedAtMs: 1000000, pools: [{pool: a, members: 1}]}");
		Run run = status();
		assertEquals(run.code(), CliExitCode.OK, run.err());
		assertTrue(run.out().startsWith("healthy"), run.out());
	}

	@Test
	public void jsonSaysWhetherTheFleetIsHealthy() throws Exception {
		store("tw-north-a", NOW - 42_000, 41, 41, 0, 0);
		Run run = Run.on(this.api, "", "status", "--output", "json");
		assertFalse(Documents.JSON.readTree(run.out()).get("healthy").asBoolean(true));
	}

	@Test
	public void theBacklogIsSortedByAge() {
		this.api.store(FleetView.KIND, "tw-north-a", """
				{updatedAtMs: 1000000, backlog: [
				{pool: a, organisation: x, priority: low, count: 2, oldestMs: 10},
				{pool: b, organisation: x, priority: low, count: 1, oldestMs: 700}]}""");
		assertEquals(Run.with(this.api.address(), "", false, clockPastTheTimeToSettle(), "backlog").out(), """
				POOL	ORGANISATION	PRIORITY	WAITING	OLDEST	CHANGE
				b	x	low	1	0.7 s	unknown
				a	x	low	2	0.0 s	unknown
				""");
	}

	/** Guards against escape sequences in output that a script redirects to a file. */
	@Test
	public void bordersAndColoursAppearOnATerminalOnly() {
		store("tw-north-a", NOW, 41, 41, 0, 0);
		assertFalse(status().out().matches("(?s).*(\u001b|\\+--).*"));
		String shown = Run.with(this.api.address(), "", true, () -> NOW, "status").out();
		assertTrue(shown.contains("\u001b[32mhealthy") && shown.contains("+--"), shown);
	}

	@Test
	public void watchPrintsUntilItIsStopped() {
		store("tw-north-a", NOW, 41, 41, 0, 0);
		Run run = Run.on(this.api, "", "status", "--watch");
		assertTrue(run.out().startsWith("healthy"), run.out());
	}

	private Run status() {
		return Run.with(this.api.address(), "", false, clockPastTheTimeToSettle(), "status");
	}

	private void assertReason(String reason) {
		String out = status().out();
		assertTrue(out.startsWith("not healthy"), out);
		assertTrue(out.contains("reason: " + reason), out);
	}

	/**
	 * Return a clock that advances by {@link FleetSample#SETTLE_MS} after its first
	 * reading, so that a sample is read at most twice.
	 * @return the clock
	 */
	private static EpochClock clockPastTheTimeToSettle() {
		AtomicBoolean started = new AtomicBoolean();
		return () -> started.compareAndSet(false, true) ? NOW - FleetSample.SETTLE_MS : NOW;
	}

	private void store(String domain, long updatedAtMs, long lowest, long highest, long waiting, long oldestMs) {
		this.api.store(FleetView.KIND, domain, String.format("""
				{failureDomain: %s, updatedAtMs: %d, lowestRevision: %d, highestRevision: %d, processes: 3,
				laggard: router-7, controlBytesPerSecond: 900,
				pools: [{pool: stock-plans, members: 4, load: 8, busiest: 5, mean: 2, queued: 0, reuse: 0.8,
				leaving: [agent-3], refusals: [{code: load-bound, count: 3}]}],
				backlog: [{pool: stock-plans, organisation: night-market, priority: batch, count: %d, oldestMs: %d}]}
				""", domain, updatedAtMs, lowest, highest, waiting, oldestMs));
	}

}

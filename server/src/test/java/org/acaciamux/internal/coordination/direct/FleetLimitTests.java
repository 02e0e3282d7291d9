package org.acaciamux.internal.coordination.direct;

import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against routers that together exceed a limit of the fleet: just started, cut off
 * from each other, or joined by several at once. {@link LimitedFleet} compares every
 * window with the limit.
 */
public class FleetLimitTests {

	private static final int ALLOWANCE = 54;

	private static final int CONNECTIONS = 64;

	private final ManualClock clock = new ManualClock();

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 1, 0 }, { 1, 5 }, { 2, 5 }, { 4, 0 }, { 4, 5 }, { 12, 1 }, { 30, 2 } };
	}

	@Test(dataProvider = "fleets")
	public void restartsWithinOneWindowStayWithinTheAllowance(int routers, int requests) {
		for (int pauseMs : new int[] { 250, 1_000, 3_000 }) {
			LimitedFleet fleet = fleet(routers, requests);
			for (int ms = 0; ms < 12_000; ms += pauseMs) {
				fleet.kill(LimitedFleet.names(0, routers));
				fleet.start(LimitedFleet.names(0, routers));
				fleet.run(pauseMs);
			}
		}
	}

	@Test(dataProvider = "fleets")
	public void routersThatAreCutOffKeepToTheirShare(int routers, int requests) {
		LimitedFleet fleet = fleet(routers, requests);
		for (int i = 0; i < routers / 2; i++) {
			fleet.move(List.of("r" + i), 1 + i % 2);
		}
		fleet.run(200_000);
		fleet.retry(false);
		fleet.run(20_000);
		fleet.retry(true);
		fleet.run(20_000);
	}

	@Test
	public void routersThatAreCutOffForLongerThanALostVmKeepToTheirShare() {
		LimitedFleet fleet = fleet(4, 0);
		fleet.move(LimitedFleet.names(1, 4), 1);
		fleet.retry(false);
		fleet.run(2 * FleetSize.LOST_MS);
		fleet.retry(true);
		fleet.run(20_000);
	}

	@DataProvider
	public Object[][] partitions() {
		return new Object[][] { { 4, 3 }, { 12, 6 }, { 12, 11 }, { 29, 28 }, { 30, 15 } };
	}

	// After the silence of a lost VM, each side divides by its own routers if it has the
	// directory.
	@Test(dataProvider = "partitions")
	public void sidesOfALongPartitionStayWithinTheAllowance(int routers, int cutOff) {
		for (boolean everywhere : new boolean[] { false, true }) {
			for (int requests : new int[] { 0, 2 }) {
				LimitedFleet fleet = fleet(routers, requests);
				fleet.directoryOnAllSides(everywhere);
				fleet.move(LimitedFleet.names(routers - cutOff, routers), 1);
				fleet.retry(false);
				fleet.run(FleetSize.LOST_MS + 60_000);
				fleet.retry(true);
				fleet.run(20_000);
				fleet.move(LimitedFleet.names(0, routers), 0);
				fleet.run(20_000);
			}
		}
	}

	@Test(dataProvider = "fleets")
	public void fleetThatGrowsBySeveralAtOnceStaysWithinTheAllowance(int routers, int requests) {
		LimitedFleet fleet = fleet(routers, requests);
		fleet.start(LimitedFleet.names(routers, 2 * routers));
		fleet.run(60_000);
	}

	@Test(dataProvider = "fleets")
	public void sharesOfRoutersThatLeftAreUsedOnlyAfterTheWindow(int routers, int requests) {
		LimitedFleet fleet = fleet(2 * routers, requests);
		fleet.leave(LimitedFleet.names(0, routers));
		fleet.run(60_000);
	}

	@Test(dataProvider = "fleets")
	public void routersThatLeaveAndJoinAgainStayWithinTheAllowance(int routers, int requests) {
		LimitedFleet fleet = fleet(routers, requests);
		fleet.run(1_000);
		fleet.leave(LimitedFleet.names(0, routers));
		fleet.run(3_000);
		fleet.start(LimitedFleet.names(0, routers));
		fleet.run(60_000);
	}

	@Test
	public void routersThatStartWithoutTheirDirectoryDoNotTakeTheShareOfOthers() {
		LimitedFleet fleet = fleet(4, 5);
		fleet.kill(LimitedFleet.names(0, 2));
		fleet.start(LimitedFleet.names(0, 2));
		fleet.move(LimitedFleet.names(0, 2), 1);
		fleet.run(60_000);
	}

	/** Kills, partitions and leaving routers in any order. */
	@Test
	public void disturbancesInAnyOrderStayWithinTheAllowance() {
		for (int seed = 1; seed <= 200; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			int routers = 1 + random.nextInt(12);
			LimitedFleet fleet = fleet(routers, random.nextInt(6));
			List<String> all = LimitedFleet.names(0, routers);
			for (int step = 0; step < 40; step++) {
				List<String> some = all.subList(random.nextInt(routers), routers);
				switch (random.nextInt(4)) {
					case 0 -> {
						fleet.kill(some);
						fleet.start(some);
					}
					case 1 -> fleet.move(some, random.nextInt(3));
					case 2 -> fleet.move(all, 0);
					default -> fleet.retry(random.nextBoolean());
				}
				fleet.run(random.nextInt(4_000));
			}
		}
	}

	@Test
	public void onlyRouterOfAFleetHasRetriesWhenItJoins() {
		RetryBudgets budgets = new RetryBudgets(0, ALLOWANCE, this.clock);
		budgets.joined();
		budgets.routers(OptionalInt.of(1));
		for (int i = 0; i < 3; i++) {
			assertTrue(budgets.tryRetry(LimitedFleet.SERVICE));
		}
	}

	@Test
	public void routerThatStartsHasARetryAfterItsFirstRequests() {
		RetryBudgets budgets = new RetryBudgets(LimitedFleet.RATIO, ALLOWANCE, this.clock);
		for (int i = 0; i < 8; i++) {
			budgets.recordRequest(LimitedFleet.SERVICE);
		}
		assertTrue(budgets.tryRetry(LimitedFleet.SERVICE));
	}

	@Test
	public void routerHasItsShareOnceItHasRunForSomeWindows() {
		RetryBudgets budgets = new RetryBudgets(0, ALLOWANCE, this.clock);
		budgets.routers(OptionalInt.of(4));
		this.clock.advance(RetryBudgets.GRANT_MS);
		int retries = 0;
		while (budgets.tryRetry(LimitedFleet.SERVICE)) {
			retries++;
		}
		assertTrue(retries >= ALLOWANCE / 8 && retries <= ALLOWANCE / 4, "retries " + retries);
	}

	@Test
	public void retriesThatWereUsedAsTheOnlyRouterCountAgainstTheShareOfALargerFleet() {
		RetryBudgets budgets = new RetryBudgets(0, 100, this.clock);
		budgets.routers(OptionalInt.of(1));
		this.clock.advance(RetryBudgets.GRANT_MS);
		for (int i = 0; i < 30; i++) {
			assertTrue(budgets.tryRetry(LimitedFleet.SERVICE));
		}
		budgets.routers(OptionalInt.of(4));
		assertTrue(!budgets.tryRetry(LimitedFleet.SERVICE));
	}

	@Test
	public void silentRouterCountsUntilItsVmIsProbablyLost() {
		FleetSize fleet = new FleetSize(this.clock, "a");
		fleet.listed(List.of("a", "b", "c"));
		fleet.heard("b", false);
		fleet.heard("c", false);
		advance(fleet, FleetSize.LOST_MS - 1_000, true);
		assertEquals(fleet.divisor(), OptionalInt.of(3));
		advance(fleet, 1_000, true);
		fleet.listed(List.of("a", "b", "c"));
		assertEquals(fleet.divisor(), OptionalInt.of(1));
	}

	@Test
	public void routerThatIsNoLongerListedIsForgottenAfterItsRetriesLeftTheWindow() {
		FleetSize fleet = new FleetSize(this.clock, "a");
		fleet.listed(List.of("a", "b"));
		fleet.heard("b", false);
		fleet.listed(List.of("a"));
		advance(fleet, RetryBudgets.WINDOW_MS + 1_000, true);
		assertEquals(fleet.divisor(), OptionalInt.of(2));
		advance(fleet, FleetSize.RELEASE_MS, true);
		assertEquals(fleet.divisor(), OptionalInt.of(1));
	}

	@Test
	public void routerThatIsCutOffFromOthersAndTheDirectoryForgetsNone() {
		FleetSize fleet = new FleetSize(this.clock, "a");
		fleet.listed(List.of("a", "b", "c"));
		fleet.heard("d", false);
		advance(fleet, 2 * FleetSize.LOST_MS, false);
		assertEquals(fleet.divisor(), OptionalInt.of(4));
	}

	@Test
	public void routerThatWasSuspendedForgetsNone() {
		FleetSize fleet = new FleetSize(this.clock, "a");
		fleet.listed(List.of("a", "b"));
		this.clock.advance(2 * FleetSize.LOST_MS);
		fleet.update(true);
		assertEquals(fleet.divisor(), OptionalInt.of(2));
	}

	@Test
	public void ownAddressIsNotCountedTwice() {
		FleetSize fleet = new FleetSize(this.clock, "a");
		fleet.heard("a", false);
		fleet.listed(List.of("a"));
		assertEquals(fleet.divisor(), OptionalInt.of(1));
	}

	@Test
	public void connectionsOfAllRoutersStayWithinTheLimitOfAServer() {
		LimitedFleet fleet = new LimitedFleet(ALLOWANCE, 0);
		fleet.start(LimitedFleet.names(0, 8));
		fleet.run(ExchangePolicy.PACE_MS);
		assertTrue(fleet.connections(CONNECTIONS) <= CONNECTIONS, "just started");
		fleet.run(5_000);
		assertEquals(fleet.connections(CONNECTIONS), CONNECTIONS);
		fleet.move(LimitedFleet.names(0, 4), 1);
		fleet.run(200_000);
		assertTrue(fleet.connections(CONNECTIONS) <= CONNECTIONS, "cut off");
		fleet.move(LimitedFleet.names(0, 8), 0);
		fleet.start(LimitedFleet.names(8, 16));
		fleet.run(ExchangePolicy.PACE_MS);
		assertTrue(fleet.connections(CONNECTIONS) <= CONNECTIONS, "joined by eight");
	}

	// A router that had just started refused requests at servers with free connections.
	@Test
	public void routerThatKnowsNoOtherYetMayOpenAllConnections() {
		FleetSize fleet = new FleetSize(this.clock, "r0");
		assertEquals(fleet.connections(CONNECTIONS, 2), CONNECTIONS);
	}

	// Entries of lost VMs, which the directory keeps, took shares for minutes after each
	// start.
	@Test
	public void entriesOfLostRoutersTakeNoShareForLong() {
		FleetSize fleet = new FleetSize(this.clock, "r0");
		fleet.listed(LimitedFleet.names(0, 104));
		assertEquals(fleet.known(), 104);
		for (long at = 0; at < FleetSize.RELEASE_MS; at += ExchangePolicy.PACE_MS) {
			LimitedFleet.names(1, 4).forEach((router) -> fleet.heard(router, false));
			advance(fleet, ExchangePolicy.PACE_MS, true);
		}
		assertEquals(fleet.known(), 4);
	}

	private static LimitedFleet fleet(int routers, int requests) {
		LimitedFleet fleet = new LimitedFleet(ALLOWANCE, requests);
		fleet.start(LimitedFleet.names(0, routers));
		fleet.retry(false);
		fleet.run(60_000);
		fleet.retry(true);
		return fleet;
	}

	private void advance(FleetSize fleet, long ms, boolean directoryAnswers) {
		for (long at = 0; at < ms; at += ExchangePolicy.PACE_MS) {
			this.clock.advance(ExchangePolicy.PACE_MS);
			fleet.update(directoryAnswers);
		}
	}

}

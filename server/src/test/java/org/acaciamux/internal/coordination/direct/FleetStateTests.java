package org.acaciamux.internal.coordination.direct;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.direct.StateFetchPolicy.Source;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against loads that count dead routers or outdated messages, retries beyond the
 * allowance, requests wrongly refused for crashes of servers, and prompt parts wrongly
 * taken for cached.
 */
public class FleetStateTests {

	private final ManualClock clock = new ManualClock();

	@Test
	public void loadsOfAllLiveRoutersAddUp() {
		FleetLoads loads = new FleetLoads(this.clock);
		loads.report("r1", 1, 1, Map.of("a", 2));
		loads.report("r2", 1, 1, Map.of("a", 3, "b", 1));
		assertEquals(loads.inFlight(), Map.of("a", 5, "b", 1));
		assertEquals(loads.live(), 2);
	}

	@Test
	public void loadOfADeadRouterIsDropped() {
		FleetLoads loads = new FleetLoads(this.clock);
		loads.report("r1", 1, 1, Map.of("a", 2));
		this.clock.advance(1_600);
		assertTrue(loads.inFlight().isEmpty());
		assertEquals(loads.live(), 0);
	}

	@Test
	public void outdatedMessageIsIgnoredButThatOfARestartedRouterIsAccepted() {
		FleetLoads loads = new FleetLoads(this.clock);
		loads.report("r1", 1, 9, Map.of("a", 2));
		loads.report("r1", 1, 8, Map.of("a", 7));
		assertEquals(loads.inFlight(), Map.of("a", 2));
		loads.report("r1", 2, 1, Map.of());
		assertTrue(loads.inFlight().isEmpty());
	}

	@Test
	public void loadsOfASampleAreScaledToALargeFleet() {
		FleetLoads loads = new FleetLoads(this.clock);
		SplittableRandom random = new SplittableRandom(7);
		List<Integer> routers = IntStream.range(0, 240).boxed().toList();
		for (int round = 1; round <= 60; round++) {
			this.clock.advance((int) ExchangePolicy.PACE_MS);
			loads.routers(240);
			for (int sender : routers) {
				// This router is one of the 240 that the sender knows.
				if (ExchangePolicy.receivers(routers, random).contains(0)) {
					loads.report("r" + sender, 1, round, Map.of("a", 2, "b", 1));
				}
			}
		}
		assertTrue(loads.live() >= 225 && loads.live() <= 240, "live " + loads.live());
		assertEquals(loads.inFlight().get("a").intValue(), 2 * loads.live());
		assertEquals(loads.inFlight().get("b").intValue(), loads.live());
	}

	@Test
	public void messageOfALargeFleetReachesABoundedNumberOfRouters() {
		List<Integer> routers = IntStream.range(0, 360).boxed().toList();
		Set<Integer> reached = new HashSet<>();
		SplittableRandom random = new SplittableRandom(3);
		for (int round = 0; round < 300; round++) {
			Collection<Integer> drawn = ExchangePolicy.receivers(routers, random);
			assertEquals(Set.copyOf(drawn).size(), ExchangePolicy.FANOUT);
			reached.addAll(drawn);
		}
		assertEquals(reached.size(), 360);
		assertEquals(ExchangePolicy.receivers(routers.subList(0, 5), random).size(), 5);
	}

	@Test
	public void stateIsFetchedFromOneRouterAtATime() {
		StateFetchPolicy stateFetches = new StateFetchPolicy();
		for (int ms = 0; ms <= 500; ms += 50) {
			long now = ms * 1_000_000L;
			for (String router : List.of("a", "b", "c")) {
				boolean fetch = stateFetches.shouldFetch(router, true, Source.ELSEWHERE, now);
				assertEquals(fetch, ms == 450 && router.equals("a"), router + " at " + ms + " ms");
			}
		}
		stateFetches.fetchEnded(false, 600_000_000L);
		assertFalse(stateFetches.shouldFetch("a", true, Source.ELSEWHERE, 700_000_000L));
		assertTrue(stateFetches.shouldFetch("b", true, Source.ELSEWHERE, 700_000_000L));
		assertFalse(stateFetches.shouldFetch("c", true, Source.ELSEWHERE, 750_000_000L));
	}

	@Test
	public void stateIsNotFetchedFromTheSameRouterSoonAfterAFailure() {
		StateFetchPolicy stateFetches = new StateFetchPolicy();
		assertTrue(stateFetches.shouldFetch("a", true, Source.NEIGHBOUR, 0));
		stateFetches.fetchEnded(false, 600_000_000L);
		assertFalse(stateFetches.shouldFetch("a", true, Source.NEIGHBOUR, 850_000_000L));
		assertTrue(stateFetches.shouldFetch("a", true, Source.NEIGHBOUR, 900_000_000L));
	}

	@Test
	public void startedRouterPausesAfterAFailedFetchFromAnyRouter() {
		for (Source source : List.of(Source.START, Source.START_WITHOUT_DIRECTORY)) {
			StateFetchPolicy stateFetches = new StateFetchPolicy();
			stateFetches.shouldFetch("a", true, source, 0);
			stateFetches.shouldFetch("b", true, source, 0);
			assertTrue(stateFetches.shouldFetch("a", true, source, 3_100_000_000L));
			stateFetches.fetchEnded(false, 3_700_000_000L);
			assertFalse(stateFetches.shouldFetch("b", true, source, 3_950_000_000L));
			assertTrue(stateFetches.shouldFetch("b", true, source, 4_000_000_000L));
		}
	}

	@Test
	public void stateIsNotFetchedFromARouterWithoutNewerState() {
		StateFetchPolicy stateFetches = new StateFetchPolicy();
		assertFalse(stateFetches.shouldFetch("a", true, Source.ELSEWHERE, 0));
		assertFalse(stateFetches.shouldFetch("a", false, Source.ELSEWHERE, 250_000_000L));
		assertFalse(stateFetches.shouldFetch("a", true, Source.ELSEWHERE, 500_000_000L));
	}

	@Test
	public void startedRouterFetchesStateEarlyOnlyIfItsDirectoryDoesNotAnswer() {
		for (boolean answering : new boolean[] { false, true }) {
			Source source = answering ? Source.START : Source.START_WITHOUT_DIRECTORY;
			StateFetchPolicy stateFetches = new StateFetchPolicy();
			assertFalse(stateFetches.shouldFetch("a", true, source, 0));
			assertEquals(stateFetches.shouldFetch("a", true, source, 200_000_000L), !answering);
			assertTrue(!answering || stateFetches.shouldFetch("a", true, Source.START, 3_100_000_000L));
		}
	}

	@Test
	public void retriesOfAllRoutersStayWithinTheAllowance() {
		int retries = 0;
		for (int router = 0; router < 4; router++) {
			RetryBudgets budgets = new RetryBudgets(0.2, 54, this.clock);
			budgets.routers(OptionalInt.of(4));
			this.clock.advance(RetryBudgets.GRANT_MS);
			for (int i = 0; i < 100; i++) {
				budgets.recordRequest("s");
				retries += budgets.tryRetry("s") ? 1 : 0;
			}
		}
		assertTrue(retries <= 0.2 * 400 + 54, "retries " + retries);
		assertTrue(retries >= 40, "retries " + retries);
	}

	@Test
	public void requestIsRefusedAfterThreeServersCrashedWithIt() {
		CrashSuspects suspects = new CrashSuspects(this.clock, CrashObserver.NONE);
		suspects.recordCrash(7, "a");
		suspects.recordCrash(7, "a");
		suspects.recordCrash(7, "b");
		assertFalse(suspects.shouldRefuse(7));
		suspects.merge(7, new CrashSuspects.Crashes(Map.of("c", 100L), OptionalLong.empty()));
		assertTrue(suspects.shouldRefuse(7));
	}

	@Test
	public void completedRequestIsNoLongerSuspect() {
		CrashSuspects suspects = new CrashSuspects(this.clock, CrashObserver.NONE);
		for (String server : List.of("a", "b", "c")) {
			suspects.recordCrash(7, server);
		}
		suspects.completed(7);
		assertFalse(suspects.shouldRefuse(7));
	}

	/**
	 * A popular request that many callers send is running whenever a server fails.
	 * Without the record of its completion, crashes that the other routers still report
	 * would refuse it for a minute.
	 */
	@Test
	public void oldCrashesReportedByOthersAreIgnoredAfterACompletion() {
		CrashSuspects suspects = new CrashSuspects(this.clock, CrashObserver.NONE);
		suspects.recordCrash(7, "a");
		this.clock.advance(1_000);
		suspects.completed(7);
		suspects.merge(7, new CrashSuspects.Crashes(Map.of("a", 500L, "b", 500L, "c", 500L), OptionalLong.empty()));
		assertFalse(suspects.shouldRefuse(7));
	}

	@Test
	public void brokenResponseOfAReachableServerIsNoCrash() {
		CrashSuspects suspects = new CrashSuspects(this.clock, CrashObserver.NONE);
		for (String server : List.of("a", "b", "c")) {
			suspects.brokeOff(7, server);
			suspects.lives(server);
		}
		assertFalse(suspects.shouldRefuse(7));
		for (String server : List.of("a", "b", "c")) {
			suspects.lifetimeEnded(server);
		}
		assertTrue(suspects.shouldRefuse(7));
	}

	@Test
	public void expiredCrashesDoNotCirculate() {
		CrashSuspects suspects = new CrashSuspects(this.clock, CrashObserver.NONE);
		suspects.merge(7,
				new CrashSuspects.Crashes(Map.of("a", 601_000L, "b", 601_000L, "c", 601_000L), OptionalLong.empty()));
		assertFalse(suspects.shouldRefuse(7));
		assertTrue(suspects.report().isEmpty());
	}

	@Test
	public void leastRecentlyUsedPartsAreEvicted() {
		PromptCache cache = new PromptCache();
		cache.capacity(1_000);
		PromptPart first = new PromptPart("a", 300);
		PromptPart second = new PromptPart("b", 300);
		cache.add(List.of(first));
		cache.add(List.of(second));
		cache.add(List.of(first));
		cache.add(List.of(new PromptPart("c", 300)));
		assertEquals(cache.missing(List.of(first)), 0);
		assertEquals(cache.missing(List.of(second)), 300);
	}

	@Test
	public void partIsReusedOnlyIfThePartsBeforeItAreCached() {
		PromptCache cache = new PromptCache();
		cache.capacity(10_000);
		cache.add(List.of(new PromptPart("b", 300)));
		assertEquals(cache.missing(List.of(new PromptPart("a", 100), new PromptPart("b", 300))), 400);
	}

	@Test
	public void placementsAreReportedOnce() {
		RecentPlacements recent = new RecentPlacements();
		List<PromptPart> prompt = List.of(new PromptPart("a", 1), new PromptPart("own", 1));
		recent.add("s", prompt);
		recent.add("s", prompt);
		assertEquals(recent.drain(), Map.of("s", List.of(List.of(new PromptPart("a", 1)))));
		assertTrue(recent.drain().isEmpty());
	}

	@Test
	public void silentSendOfAStreamIsTakenOverOnlyWhenItsServerIsUnresponsive() {
		ServiceRoute stream = AttemptPolicyTests.route(RouteKind.STREAMING, true);
		assertFalse(SilencePolicy.needsTakeover(stream, 5_000, false, true, false));
		assertTrue(SilencePolicy.needsTakeover(stream, 1_001, false, true, true));
		assertFalse(SilencePolicy.needsTakeover(stream, 900, false, true, true));
	}

	/**
	 * A sound server may pause for a second or so; a stuck stream has to go on elsewhere
	 * before its caller leaves.
	 */
	@Test
	public void streamThatHasBegunIsTakenOverAfterTwoSeconds() {
		ServiceRoute stream = AttemptPolicyTests.route(RouteKind.STREAMING, true);
		assertFalse(SilencePolicy.needsTakeover(stream, 1_900, true, true, true));
		assertTrue(SilencePolicy.needsTakeover(stream, 2_001, true, true, false));
	}

	/**
	 * A plain request may take longer than a second by its goal, which says nothing about
	 * its server.
	 */
	@Test
	public void serverOfASilentSendIsSuspectOnlyBeyondTheGoalOfItsRoute() {
		ServiceRoute plain = AttemptPolicyTests.route(RouteKind.NON_IDEMPOTENT, false);
		assertTrue(SilencePolicy.suspect(plain, 1_001, true));
		assertFalse(SilencePolicy.suspect(plain, 1_001, false));
		ServiceRoute slow = new ServiceRoute("r", "a.example", "/r/", RouteKind.NON_IDEMPOTENT, plain.targets(), 9_000,
				4_000, 0, 1, 0, false, false);
		assertFalse(SilencePolicy.suspect(slow, 5_900, true));
		assertTrue(SilencePolicy.suspect(slow, 6_001, true));
	}

	@Test
	public void requestWithoutResponseIsTakenOverOnce() {
		ServiceRoute plain = AttemptPolicyTests.route(RouteKind.IDEMPOTENT, false);
		assertTrue(SilencePolicy.needsTakeover(plain, 151, false, true, false));
		assertFalse(SilencePolicy.needsTakeover(plain, 151, false, false, false));
		assertFalse(SilencePolicy.needsTakeover(plain, 151, true, true, false));
	}

	/**
	 * The load of a router whose message takes several datagrams must not shrink to what
	 * is in the last one.
	 */
	@Test
	public void loadsOfAllPartsOfAMessageCountInAnyOrder() {
		FleetLoads loads = new FleetLoads(new ManualClock());
		loads.report("r1", 1, 4, Map.of("a", 9));
		loads.report("r1", 1, 5, Map.of("b", 2));
		loads.report("r1", 1, 5, Map.of("a", 1));
		loads.report("r1", 1, 5, Map.of("b", 2));
		assertEquals(loads.inFlight(), Map.of("a", 1, "b", 2));
	}

	/**
	 * While routers restart one after the other, the number of live ones changes several
	 * times within the window of the budget.
	 */
	@Test
	public void usedRetriesStayUsedWhenTheNumberOfRoutersChanges() {
		RetryBudgets budgets = new RetryBudgets(0.0, 100, this.clock);
		this.clock.advance(RetryBudgets.GRANT_MS);
		int retries = 0;
		for (int round = 0; round < 10; round++) {
			budgets.routers(OptionalInt.of(3 + round % 2));
			while (budgets.tryRetry("s")) {
				retries++;
			}
		}
		assertTrue(retries <= 100 / 3, "retries " + retries);
		assertTrue(retries >= 100 / 3 / 2, "retries " + retries);
	}

	@Test
	public void watchTimeoutGrowsWithTheFleet() {
		assertEquals(DirectoryPolicy.watchWaitMs(1, 0), 1_000);
		assertEquals(DirectoryPolicy.watchWaitMs(4, 0.5), 3_000);
		assertEquals(DirectoryPolicy.watchWaitMs(500, 0), 6_000);
	}

}

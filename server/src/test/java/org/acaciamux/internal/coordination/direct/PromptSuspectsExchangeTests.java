package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a prompt part that crashes server after server because routers do not
 * know what others have seen, or take old evidence for new.
 */
public class PromptSuspectsExchangeTests {

	private static final String BAD = PromptCrashes.BAD;

	private static final String COMMON = PromptCrashes.COMMON;

	private static final Set<String> CRASHING = Set.of(COMMON, BAD);

	private PromptCrashes fleet;

	private PromptSuspects suspects;

	@BeforeMethod
	public void createTable() {
		this.fleet = new PromptCrashes();
		this.suspects = this.fleet.table();
	}

	/**
	 * A crash is found 0.1 s after it happened, and told to other routers later.
	 */
	@Test
	public void runThatIsProvedBeforeTheCrashIsKnownClearsIt() {
		PromptSuspects other = this.fleet.table();
		PromptRun broken = this.fleet.run(other, Set.of("doc"));
		other.brokeOff(broken, "server");
		this.fleet.clock.advance(10);
		for (PromptSuspects router : List.of(this.suspects, other)) {
			PromptRun later = this.fleet.run(router, Set.of("doc"));
			later.data(this.fleet.clock.nanoTime());
			later.completed();
			later.ended();
		}
		PromptSuspects seeing = this.fleet.table();
		PromptRun elsewhere = this.fleet.run(seeing, Set.of("doc"));
		seeing.brokeOff(elsewhere, "server");
		seeing.lifetimeEnded("server");
		other.lifetimeEnded("server");
		assertTrue(other.mostCrashes(10).isEmpty());
		other.report().forEach(seeing::merge);
		assertTrue(seeing.mostCrashes(10).isEmpty());
	}

	@Test
	public void crashesSeenByDifferentRoutersAddUpAndTheCommonPartIsClearedEverywhere() {
		List<PromptSuspects> routers = List.of(this.fleet.table(), this.fleet.table(), this.fleet.table());
		for (int i = 0; i < 6; i++) {
			PromptSuspects at = routers.get(i % 3);
			this.fleet.crash(at, this.fleet.run(at, CRASHING));
			exchange(routers);
			this.fleet.serve(routers.get((i + 1) % 3), Set.of(COMMON));
			exchange(routers);
		}
		for (PromptSuspects router : routers) {
			assertTrue(router.shouldRefuse(Set.of(BAD)));
			assertFalse(router.shouldRefuse(Set.of(COMMON)));
		}
	}

	private static void exchange(List<PromptSuspects> routers) {
		for (PromptSuspects from : routers) {
			Map<String, PartCrashes> report = from.report();
			routers.stream().filter((to) -> to != from).forEach((to) -> report.forEach(to::merge));
		}
	}

	/**
	 * Messages are late by any time on a slow link.
	 */
	@Test
	public void clearingThatArrivesLateDoesNotClearANewerCrash() {
		PromptSuspects other = this.fleet.table();
		String first = this.fleet.crash(other, this.fleet.run(other, Set.of(BAD)));
		this.fleet.serve(other, Set.of(BAD));
		Map<String, PartCrashes> late = other.report();
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 4);
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		late.forEach(this.suspects::merge);
		assertTrue(late.get(BAD).crashes().get(first).cleared());
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
	}

	@Test
	public void crashThatWasClearedElsewhereDoesNotComeBack() {
		PromptSuspects other = this.fleet.table();
		this.fleet.crash(other, this.fleet.run(other, Set.of("doc")));
		Map<String, PartCrashes> before = other.report();
		this.fleet.serve(other, Set.of("doc"));
		other.report().forEach(this.suspects::merge);
		before.forEach(this.suspects::merge);
		assertTrue(this.suspects.mostCrashes(10).isEmpty());
	}

	@Test
	public void routerThatStartsRefusesThePart() {
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 5);
		PromptSuspects started = this.fleet.table();
		this.suspects.mostCrashes(10).forEach(started::merge);
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(started.shouldRefuse(Set.of(BAD)));
	}

	/**
	 * New parts at each crash must not push out the one that is at all of them.
	 */
	@Test
	public void floodOfPartsDoesNotEvictTheOneThatCrashes() {
		int other = 0;
		for (int i = 0; i < 5; i++) {
			List<PromptRun> runs = new ArrayList<>();
			runs.add(this.fleet.run(this.suspects, Set.of(BAD)));
			for (int j = 0; j < 200; j++) {
				runs.add(this.fleet.run(this.suspects, Set.of("doc-" + other++)));
			}
			this.fleet.crash(this.suspects, runs.toArray(PromptRun[]::new));
		}
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
		assertTrue(this.suspects.report().containsKey(BAD));
	}

	/**
	 * The requests come for as long as their callers like.
	 */
	@Test
	public void partIsRefusedForAsLongAsItsRequestsCome() {
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 5);
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		for (int minute = 0; minute < 60; minute++) {
			assertTrue(this.suspects.shouldRefuse(Set.of(BAD)), "minute " + minute);
			this.suspects.report();
			this.fleet.clock.advance(60_000);
		}
		this.fleet.clock.advance(600_001);
		assertFalse(this.suspects.shouldRefuse(Set.of(BAD)));
	}

	@Test
	public void operatorLiftsAPartAtEveryRouter() {
		PromptSuspects other = this.fleet.table();
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 5);
		this.suspects.report().forEach(other::merge);
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(other.shouldRefuse(Set.of(BAD)));
		assertTrue(this.suspects.lift(BAD));
		this.suspects.report().forEach(other::merge);
		assertFalse(this.suspects.shouldRefuse(Set.of(BAD)));
		assertFalse(other.shouldRefuse(Set.of(BAD)));
		assertFalse(other.lift(BAD));
	}

	@Test
	public void lastPartIsNeverSuspect() {
		List<PromptPart> prompt = List.of(new PromptPart("a", 1), new PromptPart("b", 1), new PromptPart("own", 1));
		assertEquals(PromptSuspects.sharedParts(prompt), Set.of("a", "b"));
		assertEquals(PromptSuspects.sharedParts(List.of(new PromptPart("own", 1))), Set.of());
	}

	@Test
	public void messageStaysSmallWhateverIsKnown() {
		for (int i = 0; i < 200; i++) {
			Set<String> parts = Set.of("part-" + i % 20, COMMON);
			this.fleet.crash(this.suspects, this.fleet.run(this.suspects, parts));
		}
		Map<String, PartCrashes> report = this.suspects.report();
		assertTrue(report.size() <= PromptSuspects.MAX_REPORTED);
		assertTrue(report.values()
			.stream()
			.mapToInt((part) -> part.crashes().size())
			.sum() < PromptSuspects.MAX_REPORTED_CRASHES + SuspectPart.MAX_REPORTED_CRASHES);
		report.values().forEach((part) -> assertTrue(part.crashes().size() <= SuspectPart.MAX_REPORTED_CRASHES));
	}

	@Test
	public void expiredCrashesOfAnotherRouterAreIgnored() {
		Map<String, PartCrashes.Crash> crashes = new HashMap<>();
		for (int i = 0; i < 5; i++) {
			crashes.put("server-" + i, new PartCrashes.Crash("s", 600_001, true, false));
		}
		this.suspects.merge(BAD, new PartCrashes(crashes, OptionalLong.empty()));
		assertTrue(this.suspects.mostCrashes(10).isEmpty());
	}

}

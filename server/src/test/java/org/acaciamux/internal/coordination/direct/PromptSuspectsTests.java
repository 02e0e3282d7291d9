package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a prompt part that crashes server after server although no two of its
 * requests are alike, and against the refusal of parts that were only near the crashes.
 */
public class PromptSuspectsTests {

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

	@Test
	public void partThatCrashesFourServersIsRefusedAndTheCommonOneIsServed() {
		for (int i = 0; i < 4; i++) {
			assertFalse(this.suspects.shouldRefuse(CRASHING), "after " + i + " crashes");
			this.fleet.crash(this.suspects, this.fleet.run(this.suspects, CRASHING));
			this.fleet.serve(this.suspects, Set.of(COMMON));
		}
		assertTrue(this.suspects.shouldRefuse(Set.of("other", BAD)));
		assertFalse(this.suspects.shouldRefuse(Set.of(COMMON)));
	}

	/**
	 * The requests of a failure domain that goes dark have many parts in common.
	 */
	@Test
	public void serversThatFailTogetherMakeNoPartRefused() {
		List<PromptRun> runs = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			runs.add(this.fleet.run(this.suspects, Set.of(COMMON, "doc")));
		}
		runs.forEach((run) -> this.fleet.crash(this.suspects, run));
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertFalse(this.suspects.shouldRefuse(Set.of(COMMON, "doc")));
	}

	/**
	 * A document that is in use when half of the servers fail, again and again, is at all
	 * of these crashes and has no run that was proved.
	 */
	@Test
	public void partIsNotRefusedAfterServersFailedTogetherThreeTimes() {
		for (int i = 0; i < 3; i++) {
			List<PromptRun> runs = List.of(this.fleet.run(this.suspects, Set.of("doc")),
					this.fleet.run(this.suspects, Set.of("doc")), this.fleet.run(this.suspects, Set.of("doc")));
			runs.forEach((run) -> {
				String server = this.fleet.nextServer();
				this.suspects.brokeOff(run, server);
				run.ended();
				this.suspects.lifetimeEnded(server);
			});
			this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		}
		assertFalse(this.suspects.shouldRefuse(Set.of("doc")));
	}

	@Test
	public void serverThatCrashesByItselfUnderACommonPartMakesItNotRefused() {
		for (int i = 0; i < 20; i++) {
			this.fleet.crash(this.suspects, this.fleet.run(this.suspects, Set.of(COMMON)));
			assertFalse(this.suspects.shouldRefuse(Set.of(COMMON)), "crash " + i);
			this.fleet.serve(this.suspects, Set.of(COMMON));
		}
	}

	/**
	 * One server that starts again and crashes within half a second is not evidence
	 * against what all requests have.
	 */
	@Test
	public void serverThatCrashesAgainAndAgainDoesNotMakeAPartOfAllRequestsRefused() {
		for (int i = 0; i < 200; i++) {
			this.fleet.serve(this.suspects, Set.of(COMMON, "doc-" + i % 20));
		}
		for (int i = 0; i < 5; i++) {
			this.fleet.crash(this.suspects, "i-2@3#" + i, this.fleet.run(this.suspects, Set.of(COMMON, "doc-" + i)));
			this.fleet.clock.advance(400);
		}
		this.fleet.crash(this.suspects, "i-1@3", this.fleet.run(this.suspects, Set.of(COMMON, "doc-5")));
		this.fleet.crash(this.suspects, "i-0@3", this.fleet.run(this.suspects, Set.of(COMMON, "doc-6")));
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertFalse(this.suspects.shouldRefuse(Set.of(COMMON, "doc-7")));
	}

	@Test
	public void partOfAllRequestsThatCrashesFourServersIsRefused() {
		for (int i = 0; i < 200; i++) {
			this.fleet.serve(this.suspects, Set.of(COMMON));
		}
		for (int i = 0; i < 4; i++) {
			this.fleet.crash(this.suspects, "i-" + i + "@3", this.fleet.run(this.suspects, Set.of(COMMON)));
			this.fleet.clock.advance(400);
		}
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(Set.of(COMMON)));
	}

	/**
	 * The only server of a service crashes again as soon as it is back.
	 */
	@Test
	public void partOfAFewRequestsThatCrashesOneServerFourTimesIsRefused() {
		for (int i = 0; i < 200; i++) {
			this.fleet.serve(this.suspects, (i % 8 == 0) ? CRASHING : Set.of(COMMON));
		}
		for (int i = 0; i < 4; i++) {
			this.fleet.crash(this.suspects, "i-0@" + i, this.fleet.run(this.suspects, CRASHING));
			this.fleet.serve(this.suspects, Set.of(COMMON));
		}
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(CRASHING));
		assertFalse(this.suspects.shouldRefuse(Set.of(COMMON)));
	}

	/**
	 * Streams that a server has been writing to for long end with it.
	 */
	@Test
	public void runThatHasBeenWrittenToIsNoSuspect() {
		PromptRun writing = this.fleet.run(this.suspects, Set.of("doc"));
		this.fleet.prove(writing);
		this.fleet.crash(this.suspects, writing);
		assertTrue(this.suspects.mostCrashes(10).isEmpty());
	}

	/**
	 * A request that waited in the server that crashed looks like the one that crashed
	 * it.
	 */
	@Test
	public void rarePartThatWaitedAtTwoCrashesIsServedByTheNextRun() {
		this.fleet.crash(this.suspects, this.fleet.run(this.suspects, CRASHING),
				this.fleet.run(this.suspects, Set.of(COMMON, "doc")));
		this.fleet.crash(this.suspects, this.fleet.run(this.suspects, CRASHING),
				this.fleet.run(this.suspects, Set.of(COMMON, "doc")));
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertFalse(this.suspects.shouldRefuse(Set.of("doc")));
		assertFalse(this.suspects.mustWait(Set.of("doc"), false));
		this.fleet.serve(this.suspects, Set.of("doc"));
		PromptRun next = this.fleet.run(this.suspects, Set.of("doc"));
		assertFalse(this.suspects.mustWait(Set.of("doc"), true));
		next.ended();
	}

	/**
	 * A guilty part explains the crashes at which others only waited.
	 */
	@Test
	public void crashesOfARefusedPartDoNotCountAgainstOthers() {
		for (int i = 0; i < 6; i++) {
			PromptRun crashing = this.fleet.run(this.suspects, Set.of(BAD));
			if (i < 4) {
				this.fleet.crash(this.suspects, crashing, this.fleet.run(this.suspects, Set.of("doc")));
			}
			else {
				this.fleet.crash(this.suspects, crashing);
			}
		}
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
		assertFalse(this.suspects.shouldRefuse(Set.of("doc")));
	}

	@Test
	public void twoPartsThatCrashServersAreBothRefused() {
		for (int i = 0; i < 4; i++) {
			this.fleet.crash(this.suspects, this.fleet.run(this.suspects, Set.of(BAD)));
			this.fleet.crash(this.suspects, this.fleet.run(this.suspects, Set.of("worse")));
		}
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
		assertTrue(this.suspects.shouldRefuse(Set.of("worse")));
	}

	/**
	 * The requests that crash servers also have a sound part in common, which others use
	 * without the one that crashes.
	 */
	@Test
	public void companionOfThePartThatCrashesIsTriedAloneAndCleared() {
		Set<String> both = Set.of(BAD, "companion");
		this.fleet.crashSeparately(this.suspects, both, 4);
		this.fleet.crash(this.suspects, this.fleet.run(this.suspects, Set.of(BAD)),
				this.fleet.run(this.suspects, Set.of("companion")));
		this.fleet.crash(this.suspects, this.fleet.run(this.suspects, Set.of("companion")));
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(both));
		assertFalse(this.suspects.shouldRefuse(Set.of("companion")));
		this.fleet.serve(this.suspects, Set.of("companion"));
		assertTrue(this.suspects.shouldRefuse(both));
		assertFalse(this.suspects.mustWait(Set.of("companion"), true));
	}

	/**
	 * Nothing tells two parts apart that never travelled alone, so either may be the one.
	 */
	@Test
	public void partThatCrashesServersIsRefusedAfterTwoRunsWithoutItsCompanion() {
		this.fleet.crashSeparately(this.suspects, Set.of(BAD, "companion"), 4);
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 2);
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
	}

	/**
	 * While servers crash one after the other, runs with a common part may end before
	 * they prove it.
	 */
	@Test
	public void commonPartThatWasAtAllCrashesIsServedWithoutTheOneThatCrashes() {
		this.fleet.crashSeparately(this.suspects, CRASHING, 5);
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(CRASHING));
		assertFalse(this.suspects.shouldRefuse(Set.of(COMMON, "doc")));
	}

	@Test
	public void runThatBeganBeforeTheCrashDoesNotClearIt() {
		PromptRun before = this.fleet.run(this.suspects, Set.of(BAD));
		before.data(this.fleet.clock.nanoTime());
		this.fleet.clock.advance(10);
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 4);
		before.data(this.fleet.clock.nanoTime());
		before.completed();
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
	}

	/**
	 * A failure, a refusal and a response without a body say nothing of the part.
	 */
	@Test
	public void runWithoutAByteOfAResponseDoesNotClear() {
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 4);
		PromptRun empty = this.fleet.run(this.suspects, Set.of(BAD));
		empty.completed();
		empty.ended();
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
	}

	@Test
	public void runAtAnotherServiceDoesNotClear() {
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 4);
		PromptRun other = this.suspects.started("other-service", Set.of(BAD));
		this.fleet.prove(other);
		other.ended();
		this.fleet.clock.advance(PromptCrashes.PROOF_MS);
		assertTrue(this.suspects.shouldRefuse(Set.of(BAD)));
	}

	/**
	 * Callers send the part more often than its crashes become known.
	 */
	@Test
	public void oneRequestWithASuspectPartRunsAtATime() {
		this.fleet.crashSeparately(this.suspects, Set.of(BAD), 2);
		assertFalse(this.suspects.mustWait(Set.of(BAD), false));
		PromptRun trial = this.fleet.run(this.suspects, Set.of(BAD));
		assertTrue(this.suspects.mustWait(Set.of(BAD), false));
		trial.ended();
		assertFalse(this.suspects.mustWait(Set.of(BAD), false));
		assertTrue(this.suspects.mustWait(Set.of(BAD), true), "a request that was at a crash itself");
	}

	@Test
	public void partIsSuspectWhileItIsNotKnownWhetherItsServersCrashed() {
		this.suspects.brokeOff(this.fleet.run(this.suspects, Set.of(BAD)), "a");
		this.suspects.brokeOff(this.fleet.run(this.suspects, Set.of(BAD)), "b");
		assertTrue(this.suspects.mustWait(Set.of(BAD), true));
		this.suspects.lives("a");
		assertFalse(this.suspects.mustWait(Set.of(BAD), true));
	}

	/**
	 * Requests with a common part must not queue up behind a crash.
	 */
	@Test
	public void partThatServersAreWritingToIsNotHeldBack() {
		for (int i = 0; i < 5; i++) {
			PromptRun writing = this.fleet.run(this.suspects, Set.of(COMMON));
			writing.data(this.fleet.clock.nanoTime());
			this.fleet.clock.advance(200);
			writing.data(this.fleet.clock.nanoTime());
		}
		this.fleet.crash(this.suspects, this.fleet.run(this.suspects, Set.of(COMMON)));
		this.fleet.crash(this.suspects, this.fleet.run(this.suspects, Set.of(COMMON)));
		for (int i = 0; i < 5; i++) {
			assertFalse(this.suspects.mustWait(Set.of(COMMON), false), "request " + i);
			this.fleet.run(this.suspects, Set.of(COMMON));
		}
	}

}

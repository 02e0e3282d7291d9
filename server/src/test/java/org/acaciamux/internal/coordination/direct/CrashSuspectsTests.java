package org.acaciamux.internal.coordination.direct;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a request that keeps crashing servers because the record of its crashes
 * was lost.
 */
public class CrashSuspectsTests {

	private static final long CRASHING = 7;

	private final ManualClock clock = new ManualClock();

	private CrashSuspects suspects() {
		return new CrashSuspects(this.clock, CrashObserver.NONE);
	}

	/**
	 * All requests of a loaded server are recorded when it crashes.
	 */
	@Test
	public void requestsThatCrashedOnceDoNotEvictTheOneThatCausesTheCrashes() {
		CrashSuspects suspects = suspects();
		long other = 1_000;
		for (String server : List.of("a", "b", "c")) {
			for (int i = 0; i < 200; i++) {
				suspects.brokeOff(other++, server);
			}
			suspects.brokeOff(CRASHING, server);
			suspects.lifetimeEnded(server);
			this.clock.advance(1_000);
		}
		assertTrue(suspects.shouldRefuse(CRASHING));
	}

	@Test
	public void moreBrokenResponsesThanFitDoNotHideTheOneThatCausesTheCrashes() {
		CrashSuspects suspects = suspects();
		long other = 1_000;
		for (String server : List.of("a", "b", "c")) {
			for (int i = 0; i < 400; i++) {
				suspects.brokeOff(other++, server);
			}
			suspects.brokeOff(CRASHING, server);
			suspects.lifetimeEnded(server);
			this.clock.advance(1_000);
		}
		assertTrue(suspects.shouldRefuse(CRASHING));
	}

	/**
	 * A message about an older crash that was unknown here must not make the newer
	 * crashes expire with it.
	 */
	@Test
	public void olderCrashOfAnotherRouterDoesNotAgeTheNewerOnes() {
		CrashSuspects suspects = suspects();
		for (String server : List.of("a", "b", "c")) {
			suspects.recordCrash(CRASHING, server);
		}
		suspects.merge(CRASHING, new CrashSuspects.Crashes(Map.of("d", 59_000L), OptionalLong.empty()));
		this.clock.advance(2_000);
		assertTrue(suspects.shouldRefuse(CRASHING));
	}

	/**
	 * Callers resend within minutes, not only within seconds.
	 */
	@Test
	public void requestResentEveryTwoMinutesIsRefused() {
		CrashSuspects suspects = suspects();
		for (String server : List.of("a", "b", "c")) {
			suspects.recordCrash(CRASHING, server);
			this.clock.advance(120_000);
		}
		assertTrue(suspects.shouldRefuse(CRASHING));
	}

	/**
	 * A popular request is running whenever a server fails. A router that has not run it
	 * since would refuse it although it completes at the others.
	 */
	@Test
	public void completionAtAnotherRouterClearsTheCrashes() {
		CrashSuspects completing = suspects();
		CrashSuspects refusing = suspects();
		for (String server : List.of("a", "b", "c")) {
			refusing.recordCrash(CRASHING, server);
		}
		refusing.report().forEach(completing::merge);
		this.clock.advance(100);
		completing.completed(CRASHING);
		completing.report().forEach(refusing::merge);
		assertFalse(refusing.shouldRefuse(CRASHING));
	}

	/**
	 * While many entries wait for their turn, a request must not crash servers for
	 * seconds because its crashes are reported last.
	 */
	@Test
	public void newCrashIsReportedInTheNextMessages() {
		CrashSuspects suspects = suspects();
		for (long other = 1_000; other < 1_250; other++) {
			suspects.recordCrash(other, "x");
		}
		for (int i = 0; i < 40; i++) {
			suspects.report();
		}
		suspects.recordCrash(CRASHING, "a");
		for (int i = 0; i < CrashSuspects.URGENT_REPORTS; i++) {
			assertTrue(suspects.report().containsKey(CRASHING), "message " + i);
		}
	}

	/**
	 * Callers that send a request at the same time, or one that repeats it at once, would
	 * otherwise crash further servers before the first crashes are known.
	 */
	@Test
	public void requestIsRefusedWhileItIsNotKnownWhetherItsServersCrashed() {
		CrashSuspects suspects = suspects();
		for (String server : List.of("a", "b", "c")) {
			assertFalse(suspects.shouldRefuse(CRASHING));
			suspects.brokeOff(CRASHING, server);
		}
		assertTrue(suspects.shouldRefuse(CRASHING));
		suspects.lives("b");
		assertFalse(suspects.shouldRefuse(CRASHING));
	}

	// Guards against sound requests that are refused because their responses have no
	// length.
	@Test
	public void responsesThatEndWithTheirConnectionRefuseNothingWithoutASignOfACrash() {
		CrashSuspects suspects = suspects();
		for (String server : List.of("a", "b", "c", "d", "e")) {
			suspects.endedWithConnection(CRASHING, server);
			assertFalse(suspects.shouldRefuse(CRASHING));
		}
	}

	@Test
	public void responsesThatEndWithTheirConnectionCountOnceACrashIsKnown() {
		CrashSuspects suspects = suspects();
		for (String server : List.of("a", "b", "c")) {
			suspects.endedWithConnection(CRASHING, server);
		}
		suspects.lifetimeEnded("a");
		assertTrue(suspects.shouldRefuse(CRASHING));
		suspects.lives("b");
		assertFalse(suspects.shouldRefuse(CRASHING));
		suspects.lifetimeEnded("b");
		assertTrue(suspects.shouldRefuse(CRASHING));
	}

	@Test
	public void serversThatCrashAfterCompleteLookingResponsesAreCounted() {
		CrashSuspects suspects = suspects();
		for (String server : List.of("a", "b", "c")) {
			assertFalse(suspects.shouldRefuse(CRASHING));
			suspects.endedWithConnection(CRASHING, server);
			suspects.lifetimeEnded(server);
		}
		assertTrue(suspects.shouldRefuse(CRASHING));
		assertTrue(suspects.refusedForMs(CRASHING) > 0);
	}

	@Test
	public void brokenResponsesOfOneServerCountOnce() {
		CrashSuspects suspects = suspects();
		for (int i = 0; i < 5; i++) {
			suspects.brokeOff(CRASHING, "a");
		}
		suspects.recordCrash(CRASHING, "b");
		assertFalse(suspects.shouldRefuse(CRASHING));
	}

	/**
	 * A server that restarts within milliseconds is found to live before the directory
	 * shows the restart.
	 */
	@Test
	public void restartThatBecomesKnownLaterCountsAlthoughTheServerLives() {
		CrashSuspects suspects = suspects();
		for (String server : List.of("a", "b", "c")) {
			suspects.brokeOff(CRASHING, server);
			suspects.lives(server);
			this.clock.advance(1_000);
			suspects.lifetimeEnded(server);
		}
		assertTrue(suspects.shouldRefuse(CRASHING));
	}

	/**
	 * A router that was cut off has missed the messages that reported the crashes when
	 * they were new.
	 */
	@Test
	public void allCrashesAreReportedAgainToARouterThatReturns() {
		CrashSuspects sender = suspects();
		for (long request = 0; request < 200; request++) {
			sender.recordCrash(request, "a");
		}
		for (int i = 0; i < 200; i++) {
			sender.report();
		}
		CrashSuspects returned = suspects();
		sender.reportAllSoon();
		int messages = 2 * CrashSuspects.MAX_ENTRIES / CrashSuspects.MAX_REPORTED;
		for (int i = 0; i < messages; i++) {
			sender.report().forEach(returned::merge);
		}
		for (long request = 0; request < 200; request++) {
			assertEquals(returned.mostCrashes(1_000).get(request).ageMs().size(), 1, "request " + request);
		}
	}

	/**
	 * Two routers that do not hear each other learn from a third one.
	 */
	@Test
	public void crashOfAnotherRouterIsPassedOnInTheNextMessage() {
		CrashSuspects seeing = suspects();
		CrashSuspects relaying = suspects();
		for (long other = 1_000; other < 1_100; other++) {
			relaying.recordCrash(other, "x");
		}
		for (int i = 0; i < 100; i++) {
			relaying.report();
		}
		seeing.recordCrash(CRASHING, "a");
		seeing.report().forEach(relaying::merge);
		assertTrue(relaying.report().containsKey(CRASHING));
	}

	/**
	 * On a slow link, messages full of old records would leave no room for requests.
	 */
	@Test
	public void recordsThatWereReportedUseLittleOfTheMessages() {
		CrashSuspects suspects = suspects();
		for (long request = 0; request < CrashSuspects.MAX_ENTRIES; request++) {
			suspects.recordCrash(request, "a");
		}
		int messages = CrashSuspects.URGENT_REPORTS * CrashSuspects.MAX_ENTRIES / CrashSuspects.MAX_REPORTED;
		for (int i = 0; i < messages; i++) {
			suspects.report();
		}
		assertEquals(suspects.report().size(), CrashSuspects.MAX_REPORTED_IN_TURN);
	}

}

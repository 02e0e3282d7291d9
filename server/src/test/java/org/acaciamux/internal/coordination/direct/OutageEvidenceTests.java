package org.acaciamux.internal.coordination.direct;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against servers that have left and are used for too long, because their entries
 * are taken for lapsed ones, and against live servers that are dropped because their
 * entries have lapsed.
 */
public class OutageEvidenceTests {

	/** Time after which the entries of live servers may lapse, in milliseconds. */
	private static final long LAPSE_MS = 3_000;

	private final ManualClock clock = new ManualClock();

	private final OutageEvidence evidence = new OutageEvidence(this.clock);

	private void respondAndWait(long ms) {
		this.evidence.responded(0, false);
		this.clock.advance(ms);
	}

	@Test
	public void entryIsNotKeptWithoutAnOutage() {
		respondAndWait(LAPSE_MS);
		assertEquals(this.evidence.keepVanishedMs(), 0);
	}

	@Test
	public void entryIsKeptAfterAnOutageInWhichItMayHaveLapsed() {
		respondAndWait(LAPSE_MS);
		this.evidence.failed(false);
		this.clock.advance(200);
		assertEquals(this.evidence.keepVanishedMs(), 1_500);
		this.clock.advance(1_500);
		assertEquals(this.evidence.keepVanishedMs(), 0);
	}

	@Test
	public void entryIsNotKeptAfterAFailureThatWasTooShortForALapse() {
		respondAndWait(1_900);
		this.evidence.failed(false);
		assertEquals(this.evidence.keepVanishedMs(), 0);
	}

	/**
	 * The response may be late because the router is busy, and its server may have left
	 * when the call was made.
	 */
	@Test
	public void lateResponseShowsAnOutageThatMayHaveEndedWhenTheCallWasMade() {
		respondAndWait(LAPSE_MS);
		this.evidence.responded(500, false);
		assertEquals(this.evidence.keepVanishedMs(), 1_200);
	}

	/**
	 * If the watch was lost while the directory was in service, the server may have left
	 * before the other routers could tell of it.
	 */
	@Test
	public void entryIsNotKeptForLongAfterASilentWatch() {
		respondAndWait(LAPSE_MS);
		this.evidence.watchSilent();
		this.clock.advance(200);
		long unknownMs = ChangeBudget.silentWatchMs() - ChangeBudget.FETCH_TIMEOUT_MS - ChangeBudget.MESSAGE_MS;
		long keepMs = this.evidence.keepVanishedMs();
		assertTrue(keepMs > 0 && keepMs + unknownMs <= ChangeBudget.BOUND_MS, keepMs + " ms after " + unknownMs);
		this.clock.advance(LAPSE_MS);
		assertEquals(this.evidence.keepVanishedMs(), 0);
	}

	/**
	 * A watch that has waited for seconds is cut, and the call after it is reset: the
	 * directory was in service until the cut.
	 */
	@Test
	public void failureSoonAfterAWatchWasCutShowsNoOutage() {
		respondAndWait(LAPSE_MS);
		this.evidence.watchCut();
		this.clock.advance(300);
		this.evidence.failed(false);
		assertEquals(this.evidence.keepVanishedMs(), 0);
	}

	@Test
	public void silentWatchBeforeTheHistoryIsDroppedShowsNoOutage() {
		respondAndWait(LAPSE_MS);
		this.evidence.watchSilent();
		this.evidence.historyDropped();
		assertEquals(this.evidence.keepVanishedMs(), 0);
	}

	/**
	 * The watch that is repeated after a silent one hears nothing before the history is
	 * dropped, either.
	 */
	@Test
	public void lateAndSilentWatchesBeforeTheHistoryIsDroppedShowNoOutage() {
		respondAndWait(LAPSE_MS);
		this.evidence.watchSilent();
		this.clock.advance(700);
		this.evidence.failed(true);
		this.evidence.responded(500, true);
		assertTrue(this.evidence.keepVanishedMs() > 0);
		this.evidence.historyDropped();
		assertEquals(this.evidence.keepVanishedMs(), 0);
	}

	@Test
	public void silentWatchDoesNotHideAnOutage() {
		respondAndWait(LAPSE_MS);
		this.evidence.failed(false);
		this.evidence.watchSilent();
		this.evidence.historyDropped();
		assertEquals(this.evidence.keepVanishedMs(), 1_700);
	}

	@Test
	public void entryIsKeptAfterTheReturnFromACopyHoweverShortTheOutageWas() {
		respondAndWait(100);
		this.evidence.returnedFromCopy();
		assertEquals(this.evidence.keepVanishedMs(), 1_700);
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.direct.StateFetchPolicy.Source;

import static org.testng.Assert.assertTrue;

/**
 * Guards against a change of the directory that reaches a router too late, because the
 * waits on the way add up to more than the bound.
 */
public class ChangeBudgetTests {

	@Test
	public void sharesOfAllWaitsAddUpToTheBoundAtMost() {
		assertTrue(ChangeBudget.cutWatchMs() <= ChangeBudget.BOUND_MS, ChangeBudget.cutWatchMs() + " ms");
		assertTrue(ChangeBudget.silentWatchMs() <= ChangeBudget.BOUND_MS, ChangeBudget.silentWatchMs() + " ms");
	}

	@Test
	public void changeArrivesInTimeAlthoughTheWatchIsSilentAndAFetchFails() {
		for (int phaseA = 1; phaseA <= ExchangePolicy.PACE_MS; phaseA += 3) {
			for (int phaseB = 1; phaseB <= ExchangePolicy.PACE_MS; phaseB += 3) {
				long ms = new SilentWatch(phaseA, phaseB).knownAfterMs() + ChangeBudget.SEND_MS;
				assertTrue(ms <= ChangeBudget.BOUND_MS, ms + " ms, messages after " + phaseA + " and " + phaseB);
			}
		}
	}

	/**
	 * A router with a silent watch and two others that know of the change: the first one
	 * that is asked does not respond.
	 */
	private static final class SilentWatch {

		private final StateFetchPolicy fetches = new StateFetchPolicy();

		private final int phaseA;

		private final int phaseB;

		private String silent = "";

		private long fetchEndsAt = Long.MAX_VALUE;

		SilentWatch(int phaseA, int phaseB) {
			this.phaseA = phaseA;
			this.phaseB = phaseB;
		}

		long knownAfterMs() {
			for (int ms = 0; ms < 10_000; ms++) {
				if (ms == this.fetchEndsAt) {
					this.fetches.fetchEnded(false, nanos(ms));
				}
				if (message("a", this.phaseA, ms) || message("b", this.phaseB, ms)) {
					return ms + ChangeBudget.RESPONSE_MS;
				}
			}
			throw new AssertionError("the change never arrives");
		}

		// Returns whether a router that responds is asked for its state.
		private boolean message(String router, int phase, int ms) {
			boolean sent = ms % ExchangePolicy.PACE_MS == phase % ExchangePolicy.PACE_MS;
			if (!sent || !this.fetches.shouldFetch(router, true, Source.ELSEWHERE, nanos(ms))) {
				return false;
			}
			this.silent = this.silent.isEmpty() ? router : this.silent;
			this.fetchEndsAt = ms + ChangeBudget.FETCH_TIMEOUT_MS;
			return !router.equals(this.silent);
		}

		private static long nanos(long ms) {
			return TimeUnit.MILLISECONDS.toNanos(ms);
		}

	}

}

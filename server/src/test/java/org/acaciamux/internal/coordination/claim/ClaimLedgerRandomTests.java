package org.acaciamux.internal.coordination.claim;

import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against keys that run twice, or that run although {@code not-run} was reported,
 * under combined faults. A single seed is repeated with {@code -Dacaciamux.seed=N}.
 */
public class ClaimLedgerRandomTests {

	private static final int SEEDS = 400;

	private static final int STEPS = 4_000;

	@Test
	public void noKeyRunsTwiceOrAfterNotRunUnderCombinedFaults() {
		long given = Long.getLong("acaciamux.seed", 0);
		LongStream seeds = (given != 0) ? LongStream.of(given) : LongStream.rangeClosed(1, SEEDS);
		int executed = 0;
		for (long seed : seeds.toArray()) {
			ClaimChecker checker = new ClaimSimulation(seed).run(STEPS);
			assertEquals(String.join("; ", checker.violations()), "", "seed " + seed + ", " + checker.summary());
			executed += checker.executed();
		}
		assertTrue(executed > 0, "at least some calls must run despite the faults");
	}

}

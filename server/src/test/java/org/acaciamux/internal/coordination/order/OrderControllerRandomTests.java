package org.acaciamux.internal.coordination.order;

import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against outdated orders that run after newer ones and against too many
 * concurrent loads under combined faults. A single seed is repeated with
 * {@code -Dacaciamux.seed=N}.
 */
public class OrderControllerRandomTests {

	private static final int SEEDS = 300;

	private static final int STEPS = 4_000;

	@Test
	public void fencingNumbersRiseAndLoadsStayWithinTheSlotsUnderCombinedFaults() {
		long given = Long.getLong("acaciamux.seed", 0);
		LongStream seeds = (given != 0) ? LongStream.of(given) : LongStream.rangeClosed(1, SEEDS);
		int loads = 0;
		for (long seed : seeds.toArray()) {
			OrderSimulation simulation = new OrderSimulation(seed);
			assertEquals(simulation.run(STEPS), "", "seed " + seed + ", " + simulation.loads() + " loads");
			loads += simulation.loads();
		}
		assertTrue(loads > 0, "at least some loads must run despite the faults");
	}

}

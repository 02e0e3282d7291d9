package org.acaciamux.internal.coordination.order;

import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against old orders that run late and against too many loads at once under
 * combined faults. A seed is run again with {@code -Dacaciamux.seed=N}.
 */
public class OrderControllerRandomTests {

	private static final int SEEDS = 300;

	private static final int STEPS = 4_000;

	@Test
	public void ordersRiseAndLoadsStayWithinTheSlotsUnderCombinedFaults() {
		long given = Long.getLong("acaciamux.seed", 0);
		LongStream seeds = (given != 0) ? LongStream.of(given) : LongStream.rangeClosed(1, SEEDS);
		int loads = 0;
		for (long seed : seeds.toArray()) {
			OrderWorld world = new OrderWorld(seed);
			assertEquals(world.run(STEPS), "", "seed " + seed + ", " + world.loads() + " loads");
			loads += world.loads();
		}
		assertTrue(loads > 0, "the faults must leave some loads");
	}

}

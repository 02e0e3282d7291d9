package org.acaciamux.internal.state;

import org.testng.annotations.Test;

import org.acaciamux.internal.BrokenInvariant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Guards against deadlocks: acquiring a lock of a lower rank than one that is held, or of
 * the same rank, must be reported as a broken invariant.
 */
public class RankedLockTests {

	@Test
	public void locksCanBeAcquiredInAscendingRank() {
		RankedLock low = new RankedLock(LockRank.RECORD_TABLE);
		RankedLock high = new RankedLock(LockRank.ADMISSION);
		int value = low.get(() -> high.get(() -> 7));
		assertEquals(value, 7);
	}

	@Test
	public void acquiringALowerRankWhileHoldingAHigherOneBreaksTheInvariant() {
		RankedLock low = new RankedLock(LockRank.RECORD_TABLE);
		RankedLock high = new RankedLock(LockRank.ADMISSION);
		assertThrows(BrokenInvariant.class, () -> high.run(() -> low.run(() -> {
		})));
	}

	@Test
	public void acquiringTwoLocksOfTheSameRankBreaksTheInvariant() {
		RankedLock first = new RankedLock(LockRank.RESPONSE_TAIL);
		RankedLock second = new RankedLock(LockRank.RESPONSE_TAIL);
		assertThrows(BrokenInvariant.class, () -> first.run(() -> second.run(() -> {
		})));
	}

}

package org.acaciamux.internal.coordination.membership;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against late entries that replace newer ones, and against losing the leaving
 * flag of an agent when a newer entry without the flag arrives.
 */
public class LoadEntryTests {

	@Test
	public void leavingIsKeptWhenAHigherHeartbeatDoesNotCarryIt() {
		LoadEntry leaving = entry(7, 4, LoadEntry.LEAVING, 100);
		assertTrue(leaving.merge(entry(7, 9, 0, 200)).hasFlag(LoadEntry.LEAVING));
	}

	@Test
	public void aReplacedIncarnationNeverReturns() {
		LoadEntry restarted = entry(7, 900, 0, 100).merge(entry(8, 1, 0, 200));
		assertEquals(restarted.merge(entry(7, 901, 0, 300)).incarnation(), 8);
	}

	@Test
	public void anOlderHeartbeatChangesNothing() {
		LoadEntry held = entry(7, 9, 0, 200);
		assertEquals(held.merge(entry(7, 4, 0, 300)), held);
	}

	private static LoadEntry entry(long incarnation, long heartbeat, int flags, long heardAtMs) {
		return new LoadEntry("a1", incarnation, heartbeat, 3, 0, flags, heardAtMs, List.of());
	}

}

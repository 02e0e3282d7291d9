package org.acaciamux.internal.coordination.membership;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against late entries that undo newer ones, and against an agent that is taken
 * for staying because only the one that told of its leaving was overtaken.
 */
public class LoadEntryTests {

	@Test
	public void leavingIsKeptWhenAHigherHeartbeatDoesNotTellIt() {
		LoadEntry told = entry(7, 4, LoadEntry.LEAVING, 100);
		assertTrue(told.join(entry(7, 9, 0, 200)).has(LoadEntry.LEAVING));
	}

	@Test
	public void aReplacedIncarnationNeverReturns() {
		LoadEntry restarted = entry(7, 900, 0, 100).join(entry(8, 1, 0, 200));
		assertEquals(restarted.join(entry(7, 901, 0, 300)).incarnation(), 8);
	}

	@Test
	public void anOlderHeartbeatTellsNothingNew() {
		LoadEntry held = entry(7, 9, 0, 200);
		assertEquals(held.join(entry(7, 4, 0, 300)), held);
	}

	private static LoadEntry entry(long incarnation, long heartbeat, int flags, long heardAtMs) {
		return new LoadEntry("a1", incarnation, heartbeat, 3, 0, flags, heardAtMs, List.of());
	}

}

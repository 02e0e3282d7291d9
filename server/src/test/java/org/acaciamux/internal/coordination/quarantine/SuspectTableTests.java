package org.acaciamux.internal.coordination.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.quarantine.SuspectTable.Kind;
import org.acaciamux.internal.protocol.wire.SuspectEntry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against suspects that run on the wrong server or beside each other, and against
 * clearings and crashes that are lost when agents merge their entries.
 */
public class SuspectTableTests {

	private static final long NOW = 1_000;

	private static SuspectTable table() {
		return new SuspectTable("self", (fingerprint) -> Optional.of((fingerprint < 100) ? "self" : "other"));
	}

	private static Kind verdict(SuspectTable table, long fingerprint, int otherHealthy) {
		Kind kind = table.enter(fingerprint, false, otherHealthy, NOW).kind();
		table.leave(fingerprint);
		return kind;
	}

	@Test
	public void aSuspectRunsOnlyOnItsDesignatedServer() {
		SuspectTable table = table();
		table.crashed(List.of(1L, 200L), NOW);
		assertEquals(verdict(table, 1, 3), Kind.ISOLATED);
		assertEquals(verdict(table, 200, 3), Kind.ELSEWHERE);
		assertEquals(table.enter(200, false, 3, NOW).designated(), "other");
		assertEquals(table.confirm(200, true, 3, NOW).kind(), Kind.ISOLATED, "only the owner can run a keyed call");
		assertEquals(verdict(table, 2, 3), Kind.FREE);
	}

	@Test
	public void aSuspectNeverRunsOnTheLastHealthyServer() {
		SuspectTable table = table();
		table.crashed(List.of(1L), NOW);
		assertEquals(verdict(table, 1, 0), Kind.LAST_HEALTHY);
	}

	@Test
	public void twoSuspectsDoNotRunBesideEachOther() {
		SuspectTable table = table();
		table.crashed(List.of(1L, 2L), NOW);
		assertEquals(table.enter(1, false, 3, NOW).kind(), Kind.ISOLATED);
		assertEquals(table.enter(2, false, 3, NOW).kind(), Kind.BUSY);
		table.leave(1);
		assertEquals(table.enter(2, false, 3, NOW).kind(), Kind.ISOLATED);
	}

	@Test
	public void twoCrashesAloneOrThreeInAllLeadToTenMinutesOfQuarantine() {
		SuspectTable table = table();
		table.crashed(List.of(1L), NOW);
		table.crashed(List.of(1L), NOW);
		table.crashed(List.of(2L, 3L), NOW);
		table.crashed(List.of(2L, 4L), NOW);
		assertEquals(verdict(table, 1, 3), Kind.QUARANTINED);
		assertEquals(verdict(table, 2, 3), Kind.ISOLATED);
		table.crashed(List.of(2L, 5L), NOW);
		assertEquals(verdict(table, 2, 3), Kind.QUARANTINED);
		assertEquals(table.enter(1, false, 3, NOW + SuspectTable.KEEP_MS - 1).kind(), Kind.QUARANTINED);
		assertEquals(table.enter(1, false, 3, NOW + SuspectTable.KEEP_MS).kind(), Kind.FREE);
	}

	@Test
	public void anOldEntryOfAPeerDoesNotUndoAClearing() {
		SuspectTable table = table();
		SuspectTable peer = table();
		table.crashed(List.of(1L, 2L), NOW);
		List<SuspectEntry> old = table.entries(NOW);
		peer.merge(old, NOW);
		table.completed(1, NOW);
		table.merge(old, NOW);
		assertEquals(verdict(table, 1, 3), Kind.FREE);
		peer.merge(table.entries(NOW), NOW);
		peer.merge(old, NOW);
		assertEquals(verdict(peer, 1, 3), Kind.FREE);
	}

	@Test
	public void aCrashAfterAClearingStartsANewCount() {
		SuspectTable table = table();
		SuspectTable peer = table();
		table.crashed(List.of(1L), NOW);
		peer.merge(table.entries(NOW), NOW);
		table.completed(1, NOW);
		table.crashed(List.of(1L), NOW);
		peer.merge(table.entries(NOW), NOW);
		assertEquals(verdict(peer, 1, 3), Kind.ISOLATED);
		table.crashed(List.of(1L), NOW);
		peer.merge(table.entries(NOW), NOW);
		assertEquals(verdict(peer, 1, 3), Kind.QUARANTINED);
	}

	@Test
	public void mergingGivesTheSameEntriesInAnyOrder() {
		long seed = Long.getLong("acaciamux.seed", 0);
		Random random = new Random(seed);
		for (int round = 0; round < 200; round++) {
			List<List<SuspectEntry>> messages = new ArrayList<>();
			SuspectTable source = table();
			for (int i = 0; i < 8; i++) {
				applyRandomChange(source, random);
				messages.add(source.entries(NOW));
				source = random.nextBoolean() ? table() : source;
			}
			SuspectTable first = merged(messages);
			Collections.shuffle(messages, random);
			SuspectTable second = merged(messages);
			assertEquals(second.entries(NOW), first.entries(NOW), "seed " + seed + " round " + round);
		}
	}

	private static void applyRandomChange(SuspectTable table, Random random) {
		long fingerprint = random.nextInt(2);
		if (random.nextInt(3) == 0) {
			table.completed(fingerprint, NOW);
		}
		else {
			table.crashed(random.nextBoolean() ? List.of(fingerprint) : List.of(fingerprint, 50L), NOW);
		}
	}

	private static SuspectTable merged(List<List<SuspectEntry>> messages) {
		SuspectTable table = table();
		messages.forEach((message) -> table.merge(message, NOW));
		return table;
	}

	@Test
	public void aFullTableDropsClearedEntriesFirstAndQuarantinedOnesLast() {
		SuspectTable table = table();
		table.crashed(List.of(1L), NOW);
		table.crashed(List.of(1L), NOW);
		table.crashed(List.of(2L), NOW);
		table.completed(2, NOW);
		for (long other = 1_000; other < 1_000 + SuspectTable.LIMIT; other++) {
			table.crashed(List.of(other), NOW + other);
		}
		List<SuspectEntry> entries = table.entries(NOW);
		assertEquals(entries.size(), SuspectTable.LIMIT);
		assertTrue(entries.stream().anyMatch((entry) -> entry.getFingerprint() == 1));
		assertTrue(entries.stream().noneMatch((entry) -> entry.getFingerprint() == 2));
	}

}

package org.acaciamux.internal.coordination.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a table that grows beyond its capacity, evicts the wrong chat or returns
 * the wrong server.
 */
public class RecentChatsTests {

	private static final int CAPACITY = 1_000;

	@Test
	public void theTableNeverGrowsBeyondItsCapacity() {
		RecentChats recent = new RecentChats(CAPACITY);
		for (int chat = 1; chat <= 50 * CAPACITY; chat++) {
			recent.note(chat, chat);
		}
		assertEquals(recent.size(), CAPACITY);
	}

	@Test
	public void theEntryNotedLongestAgoIsEvictedFirst() {
		RecentChats recent = new RecentChats(2);
		recent.note(1, 11);
		recent.note(2, 12);
		recent.note(1, 21);
		recent.note(3, 13);
		assertEquals(recent.serverOf(2), RecentChats.UNKNOWN);
		assertEquals(recent.serverOf(1), 21);
		assertEquals(recent.serverOf(3), 13);
	}

	@Test
	public void theTableAgreesWithASimpleModelOverARandomHistory() {
		Random random = new Random(Long.getLong("acaciamux.seed", 0));
		RecentChats recent = new RecentChats(CAPACITY);
		Map<Long, Long> model = new LinkedHashMap<>();
		for (int i = 0; i < 100 * CAPACITY; i++) {
			long chat = random.nextInt(3 * CAPACITY);
			long server = 1 + random.nextInt(26);
			recent.note(chat, server);
			model.remove(chat);
			model.put(chat, server);
			if (model.size() > CAPACITY) {
				model.remove(model.keySet().iterator().next());
			}
		}
		for (long chat = 0; chat < 3 * CAPACITY; chat++) {
			assertEquals((Long) recent.serverOf(chat), model.getOrDefault(chat, RecentChats.UNKNOWN));
		}
	}

}

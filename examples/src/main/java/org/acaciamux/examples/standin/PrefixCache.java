package org.acaciamux.examples.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The bounded prefix cache of the engine stand-in, keyed by chat; evicts the least
 * recently used chat. Its events are reported after a lag, and every n-th event can be
 * lost. Not thread-safe.
 */
final class PrefixCache {

	private static final int MAX_EVENTS = 10_000;

	private final Map<String, Integer> tokensByChat = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<CacheEvent> events = new ArrayDeque<>();

	private final int capacity;

	private final long lagMs;

	private final int eventGap;

	private long sequence;

	PrefixCache(int capacity, long lagMs, int eventGap) {
		this.capacity = capacity;
		this.lagMs = lagMs;
		this.eventGap = eventGap;
	}

	int heldTokens(String chat) {
		return chat.isEmpty() ? 0 : this.tokensByChat.getOrDefault(chat, 0);
	}

	int size() {
		return this.tokensByChat.size();
	}

	void store(String chat, int tokens) {
		if (chat.isEmpty() || tokens <= 0) {
			return;
		}
		this.tokensByChat.merge(chat, tokens, Integer::sum);
		addEvent("stored", chat);
		if (this.tokensByChat.size() > this.capacity) {
			String leastRecentlyUsed = this.tokensByChat.keySet().iterator().next();
			this.tokensByChat.remove(leastRecentlyUsed);
			addEvent("evicted", leastRecentlyUsed);
		}
	}

	void clear() {
		this.tokensByChat.clear();
		this.events.clear();
	}

	ObjectNode eventsAfter(long after) {
		ObjectNode answer = Exchange.newObject().put("last", this.sequence);
		ArrayNode list = answer.putArray("events");
		long reportUntil = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(this.lagMs);
		for (CacheEvent event : this.events) {
			if (event.sequence > after && event.atNanos <= reportUntil) {
				list.addObject().put("sequence", event.sequence).put("type", event.type).put("chat", event.chat);
			}
		}
		return answer;
	}

	private void addEvent(String type, String chat) {
		this.sequence++;
		if (this.eventGap > 0 && this.sequence % this.eventGap == 0) {
			return;
		}
		this.events.add(new CacheEvent(this.sequence, type, chat, System.nanoTime()));
		if (this.events.size() > MAX_EVENTS) {
			this.events.remove();
		}
	}

	private record CacheEvent(long sequence, String type, String chat, long atNanos) {
	}

}

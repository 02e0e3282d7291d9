package org.acaciamux.examples.bench.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A backend server and its agent as the benchmark sees them: load, queue and a prefix
 * cache that drops the context used longest ago. Used by one thread.
 */
final class BackendModel {

	final String id;

	final int position;

	final Deque<Integer> queue = new ArrayDeque<>();

	int load;

	/** Load as the other agents know it. */
	int exchangedLoad;

	boolean leaving;

	private final Map<Integer, Boolean> contexts;

	BackendModel(String id, int position, int cacheSize) {
		this.id = id;
		this.position = position;
		this.contexts = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
				return size() > cacheSize;
			}

		};
	}

	/**
	 * Use the context of a chat, which the server holds from now on.
	 * @param chat the chat
	 * @return whether the server held it before
	 */
	boolean use(int chat) {
		return this.contexts.put(chat, Boolean.TRUE) != null;
	}

}

package org.acaciamux.examples.bench.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Model of a backend server and its agent: load, queue and a prefix cache that evicts the
 * least recently used context. Not thread-safe.
 */
final class BackendModel {

	final String id;

	final int position;

	final Deque<Integer> queue = new ArrayDeque<>();

	int load;

	/** The load that the other agents know; older than {@link #load}. */
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
	 * Use the context of a chat and keep it in the prefix cache.
	 * @param chat the chat
	 * @return whether the cache held the context before
	 */
	boolean useContext(int chat) {
		return this.contexts.put(chat, Boolean.TRUE) != null;
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimate of the prompt parts that one backend server has cached, from the prompts that
 * the routers have sent there. Invariant: the tokens never exceed the capacity; the least
 * recently used parts are evicted. Confined to one thread.
 */
final class PromptCache {

	/** Share of the server's memory that is assumed to hold these prompt parts. */
	private static final double USABLE_SHARE = 0.8;

	private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	private long capacity;

	private long tokens;

	void capacity(long memoryTokens) {
		this.capacity = (long) (memoryTokens * USABLE_SHARE);
	}

	/**
	 * Return how many tokens of a prompt the server has to read: a part is reused only if
	 * all parts before it are cached too.
	 * @param prompt the parts of the prompt in order
	 * @return the tokens, at least 0
	 */
	int missing(List<PromptPart> prompt) {
		int missing = 0;
		boolean prefixCached = true;
		for (PromptPart part : prompt) {
			prefixCached = prefixCached && this.parts.containsKey(part.id());
			missing += prefixCached ? 0 : part.tokens();
		}
		return missing;
	}

	boolean contains(PromptPart part) {
		return this.parts.containsKey(part.id());
	}

	void add(List<PromptPart> prompt) {
		for (PromptPart part : prompt) {
			if (this.parts.put(part.id(), part.tokens()) == null) {
				this.tokens += part.tokens();
			}
		}
		Iterator<Integer> eldest = this.parts.values().iterator();
		while (this.tokens > this.capacity && eldest.hasNext()) {
			this.tokens -= eldest.next();
			eldest.remove();
		}
	}

	/**
	 * List the parts.
	 * @param limit largest number of parts; the least recently used are left out
	 * @return the parts, the most recently used last
	 */
	List<PromptPart> recent(int limit) {
		return this.parts.entrySet()
			.stream()
			.skip(Math.max(0, this.parts.size() - limit))
			.map((entry) -> new PromptPart(entry.getKey(), entry.getValue()))
			.toList();
	}

	void clear() {
		this.parts.clear();
		this.tokens = 0;
	}

}

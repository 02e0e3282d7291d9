package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prompts that this router has sent since its last message to the other routers, which
 * tells them where prompt parts are cached. Invariant: at most {@link #MAX_PROMPTS}
 * prompts are pending; further ones are not reported, so that the other routers choose a
 * server by hash. Confined to the event loop.
 */
public final class RecentPlacements {

	/** Largest number of prompts in one message: keeps a datagram below 8 KB. */
	static final int MAX_PROMPTS = 64;

	private Map<String, Map<String, List<PromptPart>>> pending = new HashMap<>();

	private int size;

	/**
	 * Record that a prompt is sent.
	 * @param server the id of the server
	 * @param prompt its parts; the last one belongs to the request alone and is not
	 * reported
	 */
	public void add(String server, List<PromptPart> prompt) {
		if (prompt.size() < 2 || this.size >= MAX_PROMPTS) {
			return;
		}
		List<PromptPart> shared = prompt.subList(0, prompt.size() - 1);
		List<PromptPart> before = this.pending.computeIfAbsent(server, (id) -> new LinkedHashMap<>())
			.put(shared.get(shared.size() - 1).id(), shared);
		this.size += (before != null) ? 0 : 1;
	}

	/**
	 * Remove and return the prompts that have not been reported.
	 * @return the shared parts of prompts by server id
	 */
	public Map<String, List<List<PromptPart>>> drain() {
		Map<String, List<List<PromptPart>>> drained = new HashMap<>();
		this.pending.forEach((server, prompts) -> drained.put(server, List.copyOf(prompts.values())));
		this.pending = new HashMap<>();
		this.size = 0;
		return drained;
	}

}

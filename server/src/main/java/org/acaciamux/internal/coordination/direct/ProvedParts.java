package org.acaciamux.internal.coordination.direct;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When the last proved run of each prompt part began, because a crash becomes known later
 * than runs that began after it. Invariant: the parts that were proved longest ago are
 * forgotten above {@link #MAX_PARTS}. Confined to the event loop.
 */
final class ProvedParts {

	/** Largest number of parts, about 150 bytes each. */
	private static final int MAX_PARTS = 1_024;

	private final Map<Key, Long> beganAt = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
			return size() > MAX_PARTS;
		}
	};

	void proved(PromptRun run) {
		for (String part : run.parts()) {
			Key key = new Key(run.service(), part);
			Long known = this.beganAt.remove(key);
			this.beganAt.put(key, (known != null) ? Math.max(known, run.beganAt()) : run.beganAt());
		}
	}

	/**
	 * Return whether a run that began later than a crash was proved.
	 * @param service the service of the server that crashed
	 * @param part the part
	 * @param crashAt when the server crashed, monotonic time in nanoseconds
	 * @return whether the part did not cause the crash
	 */
	boolean provedAfter(String service, String part, long crashAt) {
		Long began = this.beganAt.get(new Key(service, part));
		return began != null && began - crashAt > 0;
	}

	private record Key(String service, String part) {
	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keys that were claimed here recently. A repetition of such a call needs no admission
 * slot, because it attaches to the running call or replays its answer. If an entry was
 * removed, a repetition merely has to wait for an admission slot. Invariant: there are at
 * most {@link #LIMIT} entries. Not thread-safe.
 */
final class KnownKeys {

	/** Largest number of entries. */
	static final int LIMIT = 16_384;

	private final LinkedHashMap<String, Long> seen = new LinkedHashMap<>();

	void add(String key, long nowMs) {
		this.seen.remove(key);
		this.seen.put(key, nowMs);
		if (this.seen.size() > LIMIT) {
			removeOldest();
		}
	}

	boolean contains(String key, long nowMs, long retentionMs) {
		while (!this.seen.isEmpty() && nowMs - oldest().getValue() > retentionMs) {
			removeOldest();
		}
		return this.seen.containsKey(key);
	}

	private Map.Entry<String, Long> oldest() {
		return this.seen.entrySet().iterator().next();
	}

	private void removeOldest() {
		Iterator<String> oldest = this.seen.keySet().iterator();
		oldest.next();
		oldest.remove();
	}

}

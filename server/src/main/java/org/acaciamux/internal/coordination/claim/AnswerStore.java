package org.acaciamux.internal.coordination.claim;

import java.util.LinkedHashMap;
import java.util.Map;

import org.acaciamux.internal.protocol.wire.Header;

/**
 * Bounds the answers kept for replay; the oldest are dropped first. Invariant: the sizes
 * of the kept answers add up to at most the limit. Guarded by the ledger's lock.
 */
final class AnswerStore {

	/** Estimate of the memory that an answer takes beside its texts. */
	private static final int OVERHEAD_BYTES = 256;

	private final ClaimSettings settings;

	private final Map<KeyState, Long> kept = new LinkedHashMap<>();

	private long bytes;

	AnswerStore(ClaimSettings settings) {
		this.settings = settings;
	}

	// Keep an answer with its key, unless its body is too large.
	void keep(KeyState state, StoredAnswer answer) {
		if (answer.body().size() > this.settings.storedBodyBytes()) {
			return;
		}
		long size = size(answer);
		state.keep(answer);
		this.kept.put(state, size);
		this.bytes += size;
		while (this.bytes > this.settings.storedBytes()) {
			forget(this.kept.keySet().iterator().next());
		}
	}

	void forget(KeyState state) {
		Long size = this.kept.remove(state);
		if (size != null) {
			this.bytes -= size;
			state.dropAnswer();
		}
	}

	int count() {
		return this.kept.size();
	}

	long bytes() {
		return this.bytes;
	}

	private static long size(StoredAnswer answer) {
		long size = OVERHEAD_BYTES + answer.body().size();
		for (Header header : answer.headers()) {
			size += header.getSerializedSize();
		}
		return size;
	}

}

package org.acaciamux.internal.coordination.claim;

import java.util.LinkedHashMap;
import java.util.Map;

import org.acaciamux.internal.protocol.wire.Header;

/**
 * The answers kept for replay, bounded by {@link ClaimSettings#storedBytes()}; the oldest
 * are dropped first. Invariant: the sizes of the kept answers add up to at most the
 * limit. Guarded by the ledger's lock.
 */
final class AnswerStore {

	/** Estimated memory of an answer in addition to its headers and body. */
	private static final int OVERHEAD_BYTES = 256;

	private final ClaimSettings settings;

	private final Map<KeyState, Long> answerSizes = new LinkedHashMap<>();

	private long bytes;

	AnswerStore(ClaimSettings settings) {
		this.settings = settings;
	}

	// Store an answer with its key, unless its body is too large.
	void add(KeyState state, StoredAnswer answer) {
		if (answer.body().size() > this.settings.storedBodyBytes()) {
			return;
		}
		long size = size(answer);
		state.setAnswer(answer);
		this.answerSizes.put(state, size);
		this.bytes += size;
		while (this.bytes > this.settings.storedBytes()) {
			remove(this.answerSizes.keySet().iterator().next());
		}
	}

	void remove(KeyState state) {
		Long size = this.answerSizes.remove(state);
		if (size != null) {
			this.bytes -= size;
			state.dropAnswer();
		}
	}

	int count() {
		return this.answerSizes.size();
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

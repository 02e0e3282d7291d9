package org.acaciamux.internal.coordination.routing;

import org.acaciamux.internal.protocol.wire.Chunk;

/**
 * Position and credit of one response body. Invariants: bytes are delivered once and in
 * order; the agent is never granted more than one window beyond what the caller has
 * taken. Confined to the tasks of one request.
 */
final class ResponseProgress {

	/** Credit is granted once it reaches the window divided by this number. */
	private static final int CREDIT_STEPS = 4;

	private final int window;

	private long expected;

	private long granted;

	private long consumed;

	ResponseProgress(int window) {
		this.window = window;
		this.granted = window;
	}

	/**
	 * Grant new credit for a response that continues at {@link #expected()}.
	 * @return the bytes that the agent may send from there
	 */
	int grantForResume() {
		this.granted = this.consumed + this.window;
		return (int) (this.granted - this.expected);
	}

	/**
	 * Check where a piece of the body belongs, and advance past it if it is the next one.
	 * @param chunk the piece
	 * @return its position relative to the delivered bytes
	 */
	Fit accept(Chunk chunk) {
		long end = chunk.getOffset() + chunk.getData().size();
		if (chunk.getOffset() != this.expected) {
			return (end > this.expected) ? Fit.GAP : Fit.OLD;
		}
		if (end > this.granted) {
			return Fit.GAP;
		}
		this.expected = end;
		return Fit.NEXT;
	}

	/**
	 * Record that the caller has taken bytes.
	 * @param bytes the number of bytes
	 * @return the credit to grant now, 0 for none
	 */
	int consumed(long bytes) {
		this.consumed = Math.min(this.consumed + bytes, this.expected);
		long credit = this.consumed + this.window - this.granted;
		if (credit < this.window / CREDIT_STEPS) {
			return 0;
		}
		this.granted += credit;
		return (int) credit;
	}

	long expected() {
		return this.expected;
	}

	/**
	 * Return whether the agent may send. Silence without credit is not a fault.
	 * @return whether credit is left
	 */
	boolean hasCredit() {
		return this.granted > this.expected;
	}

	/**
	 * Return whether the caller has not yet taken all delivered bytes.
	 * @return whether bytes are under way to the caller
	 */
	boolean callerHasPendingBytes() {
		return this.consumed < this.expected;
	}

	/**
	 * Position of a piece of a body relative to the delivered bytes.
	 */
	enum Fit {

		/** It continues the body. */
		NEXT,
		/** Everything in it was delivered before. */
		OLD,
		/** Bytes before it are missing, or it is beyond the credit. */
		GAP

	}

}

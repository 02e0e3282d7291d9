package org.acaciamux.internal.coordination.routing;

import org.acaciamux.internal.protocol.wire.Chunk;

/**
 * Position and credit of one response body. Invariants: bytes are delivered once and in
 * order; the agent is never granted more than one window beyond what the caller has
 * taken. Confined to the tasks of one request.
 */
final class ResponseProgress {

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
	 * Return the credit for a response that continues at {@link #expected()}.
	 * @return the bytes that the agent may send from there
	 */
	int resume() {
		this.granted = this.consumed + this.window;
		return (int) (this.granted - this.expected);
	}

	/**
	 * Judge a piece of the body, and move on if it fits.
	 * @param chunk the piece
	 * @return what to do with it
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
	 * Note that the caller has taken bytes.
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
	 * Return whether the agent may send: without credit its silence is no fault.
	 * @return whether credit is left
	 */
	boolean hasCredit() {
		return this.granted > this.expected;
	}

	/**
	 * Return whether the caller has bytes that it has not taken.
	 * @return whether bytes are under way to the caller
	 */
	boolean callerHasBytes() {
		return this.consumed < this.expected;
	}

	/**
	 * How a piece of a body fits.
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

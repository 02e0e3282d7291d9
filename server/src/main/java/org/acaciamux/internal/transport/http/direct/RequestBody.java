package org.acaciamux.internal.transport.http.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of one request. Invariants: its memory is at most twice of what has arrived,
 * whatever length was announced; it counts in the budget from its first byte until
 * {@link #release}, after which nothing is added. Confined to the event loop.
 */
final class RequestBody {

	private final BodyBudget budget;

	private final long announced;

	private final int limit;

	private final Runnable onRefused;

	private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

	private long number;

	private long beganAt;

	/** Length once the bytes being added are stored. */
	private int lengthToStore;

	private boolean large;

	private int reserved;

	private boolean released;

	/**
	 * Create an empty body.
	 * @param budget bounds the memory of all bodies
	 * @param announced the length that the caller has announced, 0 if it has not
	 * @param maxBytes largest length of a body
	 * @param onRefused called if the budget has no room for the body
	 */
	RequestBody(BodyBudget budget, long announced, int maxBytes, Runnable onRefused) {
		this.budget = budget;
		this.announced = announced;
		this.limit = (announced > 0) ? (int) Math.min(announced, maxBytes) : maxBytes;
		this.onRefused = onRefused;
		this.large = announced > BodyBudget.LARGE_BODY_BYTES;
	}

	int length() {
		return this.bytes.readableBytes();
	}

	/**
	 * Return the length that the caller has announced.
	 * @return the length in bytes, 0 if it has not
	 */
	long announced() {
		return this.announced;
	}

	/**
	 * Add bytes that have arrived, unless the budget has no room for them.
	 * @param data the bytes
	 */
	void add(ByteBuf data) {
		if (this.released) {
			return;
		}
		int length = length() + data.readableBytes();
		if (length > this.bytes.capacity()) {
			grow(length);
		}
		if (!this.released) {
			this.bytes.writeBytes(data);
		}
	}

	private void grow(int length) {
		this.lengthToStore = length;
		int capacity = (int) Math.max(length, Math.min(2L * length, this.limit));
		reserve(capacity - this.reserved);
		if (!this.released) {
			this.bytes = Unpooled.buffer(capacity).writeBytes(this.bytes);
		}
	}

	private void reserve(int added) {
		if (this.number == 0) {
			this.number = this.budget.begin(this);
			this.beganAt = this.budget.now();
		}
		if (!this.large && this.reserved + added > BodyBudget.LARGE_BODY_BYTES) {
			this.large = true;
			this.budget.becameLarge(this.number, this);
		}
		this.reserved += added;
		this.budget.reserve(this, added);
	}

	/**
	 * Return when the first bytes arrived.
	 * @return the monotonic time in nanoseconds
	 */
	long beganAt() {
		return this.beganAt;
	}

	/**
	 * Return whether the bytes for which memory is being reserved are the last ones.
	 * @return whether they are; not if the caller has not announced a length
	 */
	boolean arrivesWhole() {
		return this.announced > 0 && this.lengthToStore == this.announced;
	}

	boolean large() {
		return this.large;
	}

	int reserved() {
		return this.reserved;
	}

	/**
	 * Return the bytes of the body, which is complete.
	 * @return the bytes
	 */
	ByteBuf complete() {
		this.budget.arrived(this.number, this);
		return this.bytes;
	}

	void refuse() {
		release();
		this.onRefused.run();
	}

	/**
	 * Release the memory. Has no effect if it has been released.
	 */
	void release() {
		if (this.released) {
			return;
		}
		this.released = true;
		this.budget.release(this.number, this);
		this.bytes = Unpooled.EMPTY_BUFFER;
	}

}

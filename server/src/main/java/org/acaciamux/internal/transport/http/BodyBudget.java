package org.acaciamux.internal.transport.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory for request bodies that all connections of a frontend buffer
 * together. Invariant: the reservations granted never exceed the limit in total.
 * Thread-safe.
 */
final class BodyBudget {

	private final AtomicLong reserved = new AtomicLong();

	private final long limit;

	BodyBudget(long limit) {
		this.limit = limit;
	}

	boolean reserve(int bytes) {
		if (this.reserved.addAndGet(bytes) <= this.limit) {
			return true;
		}
		release(bytes);
		return false;
	}

	void release(long bytes) {
		this.reserved.addAndGet(-bytes);
	}

}

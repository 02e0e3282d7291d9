package org.acaciamux.internal.transport.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the request bodies that all connections of a front hold together. Invariant: the
 * bytes taken never exceed the limit. Thread-safe.
 */
final class BodyBudget {

	private final AtomicLong taken = new AtomicLong();

	private final long limit;

	BodyBudget(long limit) {
		this.limit = limit;
	}

	boolean take(int bytes) {
		if (this.taken.addAndGet(bytes) <= this.limit) {
			return true;
		}
		give(bytes);
		return false;
	}

	void give(long bytes) {
		this.taken.addAndGet(-bytes);
	}

}

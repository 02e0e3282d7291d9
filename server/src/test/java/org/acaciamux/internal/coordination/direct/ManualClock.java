package org.acaciamux.internal.coordination.direct;

import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

/**
 * Monotonic clock that tests advance explicitly. Not thread-safe.
 */
final class ManualClock implements NanoClock {

	private long nanos = 1;

	@Override
	public long nanoTime() {
		return this.nanos;
	}

	void advance(long ms) {
		this.nanos += TimeUnit.MILLISECONDS.toNanos(ms);
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

/**
 * Lifetimes of backend servers that have announced that they leave. Guards against a
 * server that is used again because an older state of the directory, of this router or of
 * another one lists it as ready. Invariants: nothing takes back an announcement, only a
 * new lifetime of the server is free of it; at most {@link #MAX_ENTRIES} are kept, each
 * for {@link #KEEP_NANOS}. Confined to the event loop.
 */
final class Departures {

	/** Largest number of lifetimes: a fleet that is replaced within the time kept. */
	static final int MAX_ENTRIES = 4_096;

	/** How long an announcement is kept, in nanoseconds: longer than a drain takes. */
	static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(10);

	/** Monotonic times of the announcements in nanoseconds by lifetime, oldest first. */
	private final Map<String, Long> announced = new LinkedHashMap<>();

	private final NanoClock clock;

	Departures(NanoClock clock) {
		this.clock = clock;
	}

	/**
	 * Record an announcement.
	 * @param lifetime the {@link ServerEntry#lifetime()} of the server
	 * @return whether it is new
	 */
	boolean add(String lifetime) {
		long now = this.clock.nanoTime();
		this.announced.values().removeIf((at) -> now - at > KEEP_NANOS);
		boolean added = this.announced.putIfAbsent(lifetime, now) == null;
		if (this.announced.size() > MAX_ENTRIES) {
			this.announced.remove(this.announced.keySet().iterator().next());
		}
		return added;
	}

	/**
	 * Return whether a lifetime was announced a short time ago.
	 * @param lifetime the lifetime
	 * @param nanos how long ago at most, in nanoseconds
	 * @return whether it was
	 */
	boolean announcedWithin(String lifetime, long nanos) {
		Long at = this.announced.get(lifetime);
		return at != null && this.clock.nanoTime() - at < nanos;
	}

	boolean contains(String lifetime) {
		return this.announced.containsKey(lifetime);
	}

	void forget(String lifetime) {
		this.announced.remove(lifetime);
	}

}

package org.acaciamux.internal.transport.http.direct;

/**
 * Counts the bytes of all responses that are held back until they are complete.
 * Invariant: while it is {@link #full()}, successful responses are passed on in parts, so
 * that responses without end do not use up the memory of the router. Confined to the
 * event loop.
 */
final class HeldBytes {

	/** Bytes held back by all requests together: a sixth of the heap in use. */
	private static final long MAX_BYTES = Math.min(16 * 1_048_576, Runtime.getRuntime().maxMemory() / 6);

	private long bytes;

	void add(long change) {
		this.bytes += change;
	}

	boolean full() {
		return this.bytes > MAX_BYTES;
	}

}

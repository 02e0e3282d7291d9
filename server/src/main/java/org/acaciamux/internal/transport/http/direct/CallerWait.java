package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

/**
 * What the router awaits from a caller's connection that serves no request, and since
 * when. Invariant: only what has been read counts, so a time limit that has passed is to
 * be checked again after the connection could be read. Confined to the event loop.
 */
final class CallerWait {

	private static final long NANOS_PER_MS = 1_000_000;

	private static final long MS_PER_SECOND = 1_000;

	private Awaited awaited = Awaited.REQUEST;

	private long since;

	private long headAt;

	/**
	 * Record that the connection is open or that a response has ended.
	 * @param now the monotonic time in nanoseconds
	 * @param hasInput whether a part of the next request has arrived
	 */
	void begin(long now, boolean hasInput) {
		this.awaited = hasInput ? Awaited.HEADERS : Awaited.REQUEST;
		this.since = now;
	}

	/**
	 * Record that the head of a request is complete.
	 * @param now the monotonic time in nanoseconds
	 */
	void headComplete(long now) {
		this.awaited = Awaited.BODY;
		this.headAt = now;
		this.since = now;
	}

	/**
	 * Record that bytes were read.
	 * @param now the monotonic time in nanoseconds
	 * @param hasInput whether some of them await the rest of the headers
	 */
	void read(long now, boolean hasInput) {
		if (this.awaited == Awaited.BODY) {
			this.since = now;
			return;
		}
		if (hasInput != (this.awaited == Awaited.HEADERS)) {
			begin(now, hasInput);
		}
	}

	/**
	 * Record that bytes of a response were written.
	 * @param at when, monotonic time in nanoseconds
	 */
	void written(long at) {
		if (this.awaited == Awaited.REQUEST && at - this.since > 0) {
			this.since = at;
		}
	}

	boolean forRequest() {
		return this.awaited == Awaited.REQUEST;
	}

	long ms(long now) {
		return (now - this.since) / NANOS_PER_MS;
	}

	/**
	 * Return what has not arrived within its time limit.
	 * @param now the monotonic time in nanoseconds
	 * @param headerTimeoutMs longest time for the headers of a request, in milliseconds
	 * @param idleTimeoutMs longest time without bytes otherwise, in milliseconds
	 * @return what is overdue, empty if nothing is
	 */
	Optional<Awaited> overdue(long now, long headerTimeoutMs, long idleTimeoutMs) {
		boolean late = ms(now) > this.awaited.limitMs(headerTimeoutMs, idleTimeoutMs);
		return late ? Optional.of(this.awaited) : Optional.empty();
	}

	/**
	 * Return whether a body arrives so slowly that it may never end.
	 * @param now the monotonic time in nanoseconds
	 * @param bytes bytes that have arrived
	 * @param graceMs time in which any rate is allowed, in milliseconds
	 * @param bytesPerSecond smallest average rate after that
	 * @return that the body is overdue if it is, empty otherwise
	 */
	Optional<Awaited> bodyTooSlow(long now, int bytes, long graceMs, int bytesPerSecond) {
		long lateMs = (now - this.headAt) / NANOS_PER_MS - graceMs;
		boolean slow = this.awaited == Awaited.BODY && lateMs > 0 && bytes * MS_PER_SECOND < lateMs * bytesPerSecond;
		return slow ? Optional.of(Awaited.BODY) : Optional.empty();
	}

	/**
	 * Return whether the caller has read nothing for too long.
	 * @param now the monotonic time in nanoseconds
	 * @param progressAt when it has read last, monotonic time in nanoseconds
	 * @param idleTimeoutMs longest time without progress, in milliseconds
	 * @return that it reads if that is overdue, empty otherwise
	 */
	Optional<Awaited> readingOverdue(long now, long progressAt, long idleTimeoutMs) {
		long stalled = Math.min(now - progressAt, now - this.since);
		return (stalled / NANOS_PER_MS > idleTimeoutMs) ? Optional.of(Awaited.READING) : Optional.empty();
	}

	/**
	 * What a caller does next.
	 */
	enum Awaited {

		/** That it reads the rest of a response. */
		READING,

		/** The first bytes of a request. */
		REQUEST,

		/** The rest of its headers. */
		HEADERS,

		/** The rest of its body. */
		BODY;

		private long limitMs(long headerTimeoutMs, long idleTimeoutMs) {
			return (this == HEADERS) ? headerTimeoutMs : idleTimeoutMs;
		}

	}

}

package org.acaciamux.internal.protocol;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a connection is pinged and when it is declared silent. A connection with
 * requests in flight is pinged after 1 s without a frame and declared silent after 3 s;
 * an idle one is pinged only after a minute without a frame, because thousands of idle
 * connections share a budget of 8 KB a second for control messages. Invariants: a
 * connection is pinged before it is declared silent, and is not declared silent by a tick
 * that comes late, because this process may not have read the answer. Not thread-safe.
 */
public final class Heartbeat {

	private static final long BUSY_PING_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long IDLE_PING_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Time since the last tick from which on a tick counts as late. */
	private static final long LATE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private long silentSince;

	private long tickedAt;

	private long pingedAt;

	private boolean pinged;

	public Heartbeat(long nowNanos) {
		this.silentSince = nowNanos;
		this.tickedAt = nowNanos;
	}

	/**
	 * Restart the period of silence, because a frame arrived or unread frames may wait in
	 * the socket.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void resetSilence(long nowNanos) {
		this.silentSince = nowNanos;
		this.pinged = false;
	}

	/**
	 * Decide what to do now.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @param busy whether requests are in flight
	 * @return the action
	 */
	public Action tick(long nowNanos, boolean busy) {
		boolean late = nowNanos - this.tickedAt >= LATE_NANOS;
		this.tickedAt = nowNanos;
		if (this.pinged) {
			boolean silent = nowNanos - this.pingedAt >= SILENCE_NANOS - BUSY_PING_NANOS;
			return (silent && !late) ? Action.DECLARE_SILENT : Action.NONE;
		}
		if (nowNanos - this.silentSince < (busy ? BUSY_PING_NANOS : IDLE_PING_NANOS)) {
			return Action.NONE;
		}
		this.pinged = true;
		this.pingedAt = nowNanos;
		return Action.PING;
	}

	/**
	 * What to do with the connection.
	 */
	public enum Action {

		/** Nothing. */
		NONE,
		/** Send a ping. */
		PING,
		/** Treat the connection as broken. */
		DECLARE_SILENT

	}

}

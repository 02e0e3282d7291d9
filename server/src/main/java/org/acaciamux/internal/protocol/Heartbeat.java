package org.acaciamux.internal.protocol;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a connection is pinged and when it counts as silent. A connection with
 * requests in flight is pinged after 1 s without a frame and is silent after 3 s; an idle
 * one is pinged once a minute, because thousands of idle connections share a control
 * budget of 8 KB a second. Invariant: a silent connection was pinged before. Not
 * thread-safe.
 */
public final class Heartbeat {

	private static final long BUSY_PING_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long IDLE_PING_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private long lastHeard;

	private long pingedAt;

	private boolean pinged;

	public Heartbeat(long nowNanos) {
		this.lastHeard = nowNanos;
	}

	/**
	 * A frame arrived.
	 * @param nowNanos the time
	 */
	public void heard(long nowNanos) {
		this.lastHeard = nowNanos;
		this.pinged = false;
	}

	/**
	 * Decide what to do now.
	 * @param nowNanos the time
	 * @param busy whether requests are in flight
	 * @return the action
	 */
	public Action tick(long nowNanos, boolean busy) {
		if (this.pinged) {
			boolean silent = nowNanos - this.pingedAt >= SILENCE_NANOS - BUSY_PING_NANOS;
			return silent ? Action.DECLARE_SILENT : Action.NONE;
		}
		if (nowNanos - this.lastHeard < (busy ? BUSY_PING_NANOS : IDLE_PING_NANOS)) {
			return Action.NONE;
		}
		this.pinged = true;
		this.pingedAt = nowNanos;
		return Action.PING;
	}

	/**
	 * What a heartbeat asks for.
	 */
	public enum Action {

		/** Nothing. */
		NONE,
		/** Send a ping. */
		PING,
		/** Give the connection up. */
		DECLARE_SILENT

	}

}

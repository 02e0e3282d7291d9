package org.acaciamux.internal.transport.http.limit;

import java.util.Locale;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.event.DecisionLog;

/**
 * Logs connections that are closed because of a limit, at most one line a second for each
 * limit. Confined to the event loop.
 */
public final class ClientLimitLog implements ClientAccount.Observer {

	private static final long INTERVAL_NANOS = 1_000_000_000L;

	private final int[] closed = new int[Limit.values().length];

	private final long[] loggedAt = new long[Limit.values().length];

	private final NanoClock clock;

	private final DecisionLog log;

	/**
	 * Create a log without lines.
	 * @param clock the monotonic clock
	 * @param log receives the lines
	 */
	public ClientLimitLog(NanoClock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
	}

	@Override
	public void reached(Limit limit, Place place) {
		int index = limit.ordinal();
		this.closed[index]++;
		long now = this.clock.nanoTime();
		if (this.loggedAt[index] != 0 && now - this.loggedAt[index] < INTERVAL_NANOS) {
			return;
		}
		this.log.line("event=client-limit limit=" + limit.label() + " address=" + place.name().toLowerCase(Locale.ROOT)
				+ " closed=" + this.closed[index]);
		this.loggedAt[index] = now;
		this.closed[index] = 0;
	}

}

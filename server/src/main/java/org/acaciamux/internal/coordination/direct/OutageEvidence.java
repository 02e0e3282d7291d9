package org.acaciamux.internal.coordination.direct;

import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

/**
 * What the calls of a router show about an outage of its directory. The entries of live
 * servers may lapse in one and are back two seconds after it, so vanished entries are
 * kept for that time; without an outage they are those of servers that have left.
 * Invariant: an entry is kept only if the directory may have been away long enough for a
 * lapse, and no longer than {@link ChangeBudget} allows. Confined to the event loop.
 */
public final class OutageEvidence {

	/**
	 * Shortest time without a response in which the entry of a live server may lapse, in
	 * milliseconds: servers report more often than every 1.5 s, and an entry outlives two
	 * missing reports.
	 */
	private static final long MIN_LAPSE_MS = 2_000;

	private final NanoClock clock;

	private Kind kind = Kind.NONE;

	private long seenAt;

	/** When the directory last responded or closed a connection. */
	private long respondedAt;

	/** How long the directory may have been away when the evidence was seen. */
	private long awayMs;

	/** Whether only watches were late or silent. */
	private boolean watchesOnly;

	/**
	 * Create evidence of no outage.
	 * @param clock the monotonic clock
	 */
	public OutageEvidence(NanoClock clock) {
		this.clock = clock;
		this.respondedAt = clock.nanoTime();
	}

	/**
	 * Record a response. If it is late because this router is busy, a server may have
	 * left since the call was made.
	 * @param ms how long it took longer than it was asked to wait, in milliseconds
	 * @param watch whether it is that of a watch
	 */
	public void responded(long ms, boolean watch) {
		if (ms > ChangeBudget.RESPONSE_MS) {
			see(Kind.OUTAGE, this.clock.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ms), watch);
		}
		this.respondedAt = this.clock.nanoTime();
	}

	/**
	 * Record that a call failed that a directory in service answers at once.
	 * @param silentWatch whether it is a watch that got no response
	 */
	public void failed(boolean silentWatch) {
		see(Kind.OUTAGE, this.clock.nanoTime(), silentWatch);
	}

	/**
	 * Record that a watch that waited got no response at all. Its connection may have
	 * been lost while the directory was in service.
	 */
	public void watchSilent() {
		if (keepVanishedMs() == 0) {
			see(Kind.SILENT_WATCH, this.clock.nanoTime(), true);
		}
	}

	/**
	 * Record that the connection of a watch that waited was closed, which a directory in
	 * service does, too. If it is away, it has not been for longer.
	 */
	public void watchCut() {
		this.respondedAt = this.clock.nanoTime();
	}

	/**
	 * Record that the directory has dropped its history, which it does while it is in
	 * service: until then watches may hear nothing.
	 */
	public void historyDropped() {
		if (this.watchesOnly) {
			this.kind = Kind.NONE;
		}
	}

	/**
	 * Record that the directory has returned from an older copy, which may lack the entry
	 * of any live server.
	 */
	public void returnedFromCopy() {
		see(Kind.OUTAGE, this.clock.nanoTime(), false);
		this.awayMs = Long.MAX_VALUE;
	}

	private void see(Kind seen, long at, boolean watch) {
		// What another call has shown is not taken back with the evidence of watches.
		this.watchesOnly = watch && (this.watchesOnly || keepVanishedMs() == 0);
		this.kind = seen;
		this.seenAt = at;
		this.awayMs = TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime() - this.respondedAt);
	}

	/**
	 * Decide how long an entry that has vanished is kept.
	 * @return milliseconds to keep it, 0 to remove it at once
	 */
	public long keepVanishedMs() {
		if (this.awayMs < MIN_LAPSE_MS) {
			return 0;
		}
		return this.kind.keepMs(TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime() - this.seenAt));
	}

	@Override
	public String toString() {
		return this.kind + " awayMs=" + this.awayMs;
	}

	/**
	 * Kind of evidence.
	 */
	private enum Kind {

		/** There is none. */
		NONE {

			@Override
			long keepMs(long ageMs) {
				return 0;
			}

		},

		/** A watch was silent. */
		SILENT_WATCH {

			@Override
			long keepMs(long ageMs) {
				return (ageMs < ChangeBudget.RETRY_PAUSE_MS + ChangeBudget.RESPONSE_MS)
						? ChangeBudget.silentWatchKeepMs() : 0;
			}

		},

		/** A call failed. */
		OUTAGE {

			@Override
			long keepMs(long ageMs) {
				return Math.max(0, ChangeBudget.OUTAGE_KEEP_MS - ageMs);
			}

		};

		abstract long keepMs(long ageMs);

	}

}

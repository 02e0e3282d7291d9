package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a router fetches the state of another one that has newer state. When a
 * fleet restarted on slow links, a router that asked all others for a large configuration
 * at the same time received none of the responses. Invariants: one fetch at a time; a
 * router in service that got no response asks the next one without a pause, as
 * {@link ChangeBudget} asks. Confined to the event loop.
 */
public final class StateFetchPolicy {

	/**
	 * Pause after a failed fetch before the next one from the same router, or from any
	 * router at the start, in nanoseconds: longer than the message interval.
	 */
	private static final long PAUSE_NANOS = 300_000_000L;

	private final Map<String, Long> newerSince = new HashMap<>();

	private boolean fetching;

	/** Router of the last fetch. */
	private String fetchedFrom = "";

	private long failedAt;

	private boolean failed;

	/**
	 * Decide on a message of another router. If the result is true, a fetch from that
	 * router is in progress until {@link #fetchEnded}.
	 * @param router the other router
	 * @param newer whether it has newer state
	 * @param source where this router expects the newer state from
	 * @param now the monotonic time in nanoseconds
	 * @return whether to fetch its state
	 */
	public boolean shouldFetch(String router, boolean newer, Source source, long now) {
		if (!newer) {
			this.newerSince.remove(router);
			return false;
		}
		long since = this.newerSince.computeIfAbsent(router, (key) -> now);
		boolean pausing = this.failed && now - this.failedAt < PAUSE_NANOS
				&& (source.start || router.equals(this.fetchedFrom));
		if (this.fetching || pausing || source.tooEarly(now - since)) {
			return false;
		}
		this.newerSince.remove(router);
		this.fetching = true;
		this.fetchedFrom = router;
		return true;
	}

	/**
	 * Record that the fetch has ended.
	 * @param success whether the state was received
	 * @param now the monotonic time in nanoseconds
	 */
	public void fetchEnded(boolean success, long now) {
		this.fetching = false;
		this.failed = !success;
		this.failedAt = now;
	}

	/**
	 * Where a router expects newer state from, which decides how long another router may
	 * have it before it is fetched from that one.
	 */
	public enum Source {

		/** That router, because it is a neighbour and this router does not watch. */
		NEIGHBOUR(0, false),

		/**
		 * A watch of its own, or its neighbours: either of them reports a change soon.
		 */
		ELSEWHERE(ChangeBudget.OWN_WATCH_MS, false),

		/**
		 * Other routers, because it has just started and its directory does not answer:
		 * shorter than the message interval, so the second message starts a fetch.
		 */
		START_WITHOUT_DIRECTORY(150, true),

		/**
		 * Its directory, because it has just started: long enough for a long list to
		 * arrive first. With a shorter delay, 300 routers that restarted at once asked
		 * each other meanwhile and served nothing for 30 s.
		 */
		START(3_000, true);

		private final long delayNanos;

		private final boolean start;

		Source(long delayMs, boolean start) {
			this.delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMs);
			this.start = start;
		}

		private boolean tooEarly(long newerForNanos) {
			return this.delayNanos > 0 && newerForNanos <= this.delayNanos;
		}

	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a router fetches the state of another one that has newer state. When a
 * fleet restarted on slow links, a router that asked all others for a large configuration
 * at the same time received none of the responses. Invariant: one fetch at a time.
 * Confined to the event loop.
 */
public final class StateFetchPolicy {

	/**
	 * How long another router may have newer state before it is fetched, in nanoseconds:
	 * a working watch reports a change within one message interval.
	 */
	private static final long OUTDATED_NANOS = 400_000_000L;

	/**
	 * The same for a router without a configuration whose directory does not answer, in
	 * nanoseconds: shorter than the message interval, so the second message starts a
	 * fetch.
	 */
	private static final long STARTING_NANOS = 150_000_000L;

	/**
	 * The same for a router without a configuration whose directory answers, in
	 * nanoseconds: long enough for a long list to arrive first. With a shorter delay, 300
	 * routers that restarted at once asked each other meanwhile and served nothing for 30
	 * s.
	 */
	private static final long LISTING_NANOS = 3_000_000_000L;

	/** Pause after a failed fetch, in nanoseconds: longer than the message interval. */
	private static final long PAUSE_NANOS = 300_000_000L;

	private final Map<String, Long> newerSince = new HashMap<>();

	private boolean fetching;

	private long failedAt;

	private boolean failed;

	/**
	 * Decide on a message of another router. If the result is true, a fetch from that
	 * router is in progress until {@link #fetchEnded}.
	 * @param router the other router
	 * @param newer whether it has newer state
	 * @param configured whether this router has a configuration
	 * @param directoryAnswers whether its directory answers
	 * @param now the monotonic time in nanoseconds
	 * @return whether to fetch its state
	 */
	public boolean shouldFetch(String router, boolean newer, boolean configured, boolean directoryAnswers, long now) {
		if (!newer) {
			this.newerSince.remove(router);
			return false;
		}
		long since = this.newerSince.computeIfAbsent(router, (key) -> now);
		long delay = configured ? OUTDATED_NANOS : directoryAnswers ? LISTING_NANOS : STARTING_NANOS;
		boolean pausing = this.failed && now - this.failedAt < PAUSE_NANOS;
		if (this.fetching || pausing || now - since <= delay) {
			return false;
		}
		this.newerSince.remove(router);
		this.fetching = true;
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

}

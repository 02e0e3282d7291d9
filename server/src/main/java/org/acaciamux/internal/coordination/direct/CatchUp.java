package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a router fetches the state of another one that knows more. Answers a fleet
 * that restarts at once on slow links: a router that asked all others for a large
 * configuration at the same time received none of the responses. Invariant: one fetch at
 * a time. Confined to the event loop.
 */
public final class CatchUp {

	/**
	 * How long another router may know more before its state is fetched, in nanoseconds:
	 * a watch that works hears of a change within one message.
	 */
	private static final long BEHIND_NANOS = 400_000_000L;

	/**
	 * The same for a router that has just started and whose directory does not answer, in
	 * nanoseconds: below the pace of messages, so the second one starts a fetch.
	 */
	private static final long STARTING_NANOS = 150_000_000L;

	/**
	 * The same for a router that has just started and whose directory answers, in
	 * nanoseconds: chosen so that a long list can arrive first. 300 routers that
	 * restarted at once and asked each other meanwhile served nothing for 30 s.
	 */
	private static final long LISTING_NANOS = 3_000_000_000L;

	/** Pause after a fetch that failed, in nanoseconds: above the pace of messages. */
	private static final long PAUSE_NANOS = 300_000_000L;

	private final Map<String, Long> newerSince = new HashMap<>();

	private boolean fetching;

	private long failedAt;

	private boolean failed;

	/**
	 * Judge a message of another router. If the result is true, a fetch from that router
	 * is under way until {@link #ended}.
	 * @param router the other router
	 * @param newer whether it knows more
	 * @param started whether this router knows a configuration
	 * @param answering whether its directory answers
	 * @param now the monotonic time in nanoseconds
	 * @return whether to fetch its state
	 */
	public boolean fetch(String router, boolean newer, boolean started, boolean answering, long now) {
		if (!newer) {
			this.newerSince.remove(router);
			return false;
		}
		long since = this.newerSince.computeIfAbsent(router, (key) -> now);
		long patience = started ? BEHIND_NANOS : answering ? LISTING_NANOS : STARTING_NANOS;
		boolean pausing = this.failed && now - this.failedAt < PAUSE_NANOS;
		if (this.fetching || pausing || now - since <= patience) {
			return false;
		}
		this.newerSince.remove(router);
		this.fetching = true;
		return true;
	}

	/**
	 * Note that the fetch has ended.
	 * @param success whether the state was received
	 * @param now the monotonic time in nanoseconds
	 */
	public void ended(boolean success, long now) {
		this.fetching = false;
		this.failed = !success;
		this.failedAt = now;
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.Set;

/**
 * The run of one request at one backend server, as far as it tells which of its prompt
 * parts are harmless: a part that crashes servers does so when a server begins to write a
 * response to it. Invariant: a proved run has written for {@link #PROVED_NANOS}, or to an
 * end that its framing confirms. Confined to the event loop.
 */
public final class PromptRun {

	/**
	 * Time of writing after which a server that crashes has not crashed because of this
	 * run, in nanoseconds: longer than a retransmission delays a part of the response.
	 */
	private static final long PROVED_NANOS = 500_000_000L;

	/** Time of writing after which the run probably did no harm, in nanoseconds. */
	private static final long ESTABLISHED_NANOS = 200_000_000L;

	/** Longest time for which others wait for the outcome of the run, in nanoseconds. */
	private static final long UNDECIDED_NANOS = 3_000_000_000L;

	private final PromptSuspects owner;

	private final String service;

	private final Set<String> parts;

	private final Set<String> suspectsAtStart;

	private final long startedAt;

	private long beganAt;

	private long lastDataAt;

	private boolean began;

	private boolean proved;

	PromptRun(PromptSuspects owner, String service, Set<String> parts, Set<String> suspectsAtStart, long startedAt) {
		this.owner = owner;
		this.service = service;
		this.parts = parts;
		this.suspectsAtStart = suspectsAtStart;
		this.startedAt = startedAt;
	}

	/**
	 * Record that a part of a successful response arrived.
	 * @param now the monotonic time in nanoseconds
	 */
	public void data(long now) {
		this.beganAt = this.began ? this.beganAt : now;
		this.began = true;
		this.lastDataAt = now;
		if (!this.proved && writingNanos() >= PROVED_NANOS) {
			prove();
		}
	}

	/**
	 * Record that a successful response is complete, whatever its server does afterwards.
	 */
	public void completed() {
		if (this.began && !this.proved) {
			prove();
		}
	}

	private void prove() {
		this.proved = true;
		this.owner.proved(this);
	}

	/**
	 * Record that the run has ended, for whatever reason.
	 */
	public void ended() {
		this.owner.ended(this);
	}

	private long writingNanos() {
		return this.began ? this.lastDataAt - this.beganAt : 0;
	}

	/**
	 * Return whether the server may have crashed because of this run.
	 * @return whether it may
	 */
	boolean suspect() {
		return !this.proved;
	}

	boolean established() {
		return writingNanos() >= ESTABLISHED_NANOS;
	}

	/**
	 * Return whether others should wait for the outcome of the run. A server that is
	 * silent for long must not hold them up.
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is known soon whether the run does harm
	 */
	boolean undecided(long now) {
		return !established() && now - this.startedAt < UNDECIDED_NANOS;
	}

	boolean establishedAfter(long time) {
		return established() && beganAfter(time);
	}

	boolean beganAfter(long time) {
		return this.began && this.beganAt - time > 0;
	}

	long beganAt() {
		return this.beganAt;
	}

	String service() {
		return this.service;
	}

	Set<String> parts() {
		return this.parts;
	}

	boolean wasSuspect(String part) {
		return this.suspectsAtStart.contains(part);
	}

}

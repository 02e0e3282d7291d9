package org.acaciamux.internal.coordination.routing;

/**
 * Limits of a router's requests. Immutable and thread-safe.
 *
 * @param maxInFlight requests that the router holds at once, at least 1
 * @param creditWindowBytes bytes of one response that may be under way to the caller, at
 * least 1,024
 * @param connectLimitMs longest wait for a link before the next server is tried
 * @param deadlineGraceMs time past the deadline that the router waits for the agent's
 * own, more precise answer
 * @param resolveLimitMs longest time without a working link to the agent before a request
 * is given up
 * @param resolveRetryMs pause between two attempts to reopen a link, to resolve or to
 * resume
 * @param progressSlackMs time past the pool's progress limit that the router waits for
 * the agent's own answer
 * @param callerStallMs longest time that a caller may take no bytes although some are
 * waiting
 * @param retryAfterMs delay after which refused callers are asked to retry
 */
public record RouterSettings(int maxInFlight, int creditWindowBytes, long connectLimitMs, long deadlineGraceMs,
		long resolveLimitMs, long resolveRetryMs, long progressSlackMs, long callerStallMs, long retryAfterMs) {

	/**
	 * Return the default limits.
	 * @return the limits
	 */
	public static RouterSettings defaults() {
		return new RouterSettings(20_000, 256 << 10, 2_000, 250, 10_000, 500, 1_000, 60_000, 1_000);
	}

	/**
	 * Return these limits with another number of requests.
	 * @param requests requests that the router holds at once, at least 1
	 * @return the new limits
	 */
	public RouterSettings withMaxInFlight(int requests) {
		return new RouterSettings(requests, this.creditWindowBytes, this.connectLimitMs, this.deadlineGraceMs,
				this.resolveLimitMs, this.resolveRetryMs, this.progressSlackMs, this.callerStallMs, this.retryAfterMs);
	}

}

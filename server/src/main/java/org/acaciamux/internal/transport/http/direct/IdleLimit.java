package org.acaciamux.internal.transport.http.direct;

/**
 * Idle time in force for the connections of callers. Invariant: a lowered limit comes
 * into force only after the former one has passed, because callers reuse connections for
 * as long as the limit they know allows. Confined to the event loop.
 */
final class IdleLimit {

	private static final long NANOS_PER_MS = 1_000_000;

	private long inForceMs;

	private long latestMs;

	private long loweredAt;

	/**
	 * Return the limit in force. Called a few times a second.
	 * @param configuredMs the limit of the newest configuration, in milliseconds
	 * @param now the monotonic time in nanoseconds
	 * @return the limit in milliseconds
	 */
	long inForceMs(long configuredMs, long now) {
		if (configuredMs < this.latestMs) {
			this.loweredAt = now;
		}
		this.latestMs = configuredMs;
		boolean formerPassed = (now - this.loweredAt) / NANOS_PER_MS > this.inForceMs;
		if (configuredMs >= this.inForceMs || formerPassed) {
			this.inForceMs = configuredMs;
		}
		return this.inForceMs;
	}

}

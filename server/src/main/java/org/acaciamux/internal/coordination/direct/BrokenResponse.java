package org.acaciamux.internal.coordination.direct;

/**
 * Response whose server may have crashed. Immutable and thread-safe.
 *
 * @param fingerprint the request's fingerprint
 * @param server the {@link ServerState#observedLifetime()} of the server
 * @param at monotonic time of its end in nanoseconds
 * @param doubt what suggests that the server crashed
 */
record BrokenResponse(long fingerprint, String server, long at, Doubt doubt) {

	BrokenResponse withoutDoubt() {
		return new BrokenResponse(this.fingerprint, this.server, this.at, Doubt.NONE);
	}

	/**
	 * What suggests, until it is known, that a server crashed.
	 */
	enum Doubt {

		/** The server was found to live. */
		NONE,

		/**
		 * The response ended with its connection, as it does at a sound server too that
		 * sends neither a length nor chunks.
		 */
		ENDED,

		/** A part of the response is missing. */
		BROKEN;

		/**
		 * Return whether the server counts as crashed for the time being.
		 * @param crashKnown whether the request is known to have been running at a server
		 * that crashed
		 * @return whether it counts
		 */
		boolean counts(boolean crashKnown) {
			return this == BROKEN || this == ENDED && crashKnown;
		}

	}

}

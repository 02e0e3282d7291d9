package org.acaciamux.internal.coordination.direct;

/**
 * Response that broke off, whose server may have crashed. Immutable and thread-safe.
 *
 * @param fingerprint the request's fingerprint
 * @param server the {@link ServerState#observedLifetime()} of the server
 * @param at monotonic time of its end in nanoseconds
 * @param inDoubt whether it is not known yet if the server crashed
 */
record BrokenResponse(long fingerprint, String server, long at, boolean inDoubt) {

	BrokenResponse withoutDoubt() {
		return new BrokenResponse(this.fingerprint, this.server, this.at, false);
	}

}

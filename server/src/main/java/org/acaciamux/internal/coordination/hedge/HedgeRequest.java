package org.acaciamux.internal.coordination.hedge;

/**
 * What excludes one request from hedging. Immutable and thread-safe.
 *
 * @param repeatable whether it may run more than once; false for streams that may not be
 * resumed
 * @param first whether its first send is in progress and no other was hedged
 * @param begun whether a byte of its response has arrived or was passed on
 * @param runLeft whether its route allows one more run
 * @param mayCrash whether servers crashed while they ran it or one of its prompt parts
 * @param draining whether the router is stopping
 */
public record HedgeRequest(boolean repeatable, boolean first, boolean begun, boolean runLeft, boolean mayCrash,
		boolean draining) {

	/**
	 * Return whether the request must not have a second send.
	 * @return whether anything excludes it
	 */
	public boolean excluded() {
		return !this.repeatable || !this.first || this.begun || !this.runLeft || this.mayCrash || this.draining;
	}

}

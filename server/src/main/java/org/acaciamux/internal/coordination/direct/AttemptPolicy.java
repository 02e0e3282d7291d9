package org.acaciamux.internal.coordination.direct;

/**
 * Decides what happens after a send without a usable response, when servers crash, shed
 * requests or return invalid responses: a request that may run again is sent to another
 * server within the limits, all others get their final response at once. Invariants: a
 * request that may have run and is not repeatable is never sent again;
 * {@link Decision#REFUSE} is returned only for requests that have not run anywhere. Holds
 * the history of one request; confined to the event loop.
 */
public final class AttemptPolicy {

	/**
	 * Sends of one request that may end without running; bounds the number of resends.
	 */
	private static final int MAX_NOT_RUN = 4;

	private final ServiceRoute route;

	private int ran;

	private int notRun;

	private int arrivals;

	/**
	 * Create the policy of one request.
	 * @param route its route
	 */
	public AttemptPolicy(ServiceRoute route) {
		this.route = route;
	}

	/**
	 * Record the end of a send and decide how to continue.
	 * @param result how it ended
	 * @param started whether a part of the response has been passed on to the caller
	 * @return the decision
	 */
	public Decision after(SendResult result, boolean started) {
		this.arrivals += result.arrived() ? 1 : 0;
		if (result.notRun()) {
			this.notRun++;
			return (this.notRun <= MAX_NOT_RUN) ? Decision.SEND_AGAIN : giveUp(started);
		}
		this.ran++;
		if (this.route.repeatable() && this.ran < this.route.maxAttempts()) {
			return Decision.SEND_AGAIN;
		}
		return giveUp(started);
	}

	/**
	 * Return whether the request may run at another server if the send in progress is
	 * given up.
	 * @return whether it may
	 */
	public boolean allowsAnotherRun() {
		return this.route.repeatable() && this.ran + 1 < this.route.maxAttempts() && this.notRun < MAX_NOT_RUN;
	}

	/**
	 * Decide how the request ends when it is not sent again.
	 * @param started whether a part of the response has been passed on to the caller
	 * @return how it ends
	 */
	public Decision giveUp(boolean started) {
		if (started) {
			return Decision.BREAK_OFF;
		}
		return (this.ran == 0) ? Decision.REFUSE : Decision.FAIL;
	}

	/**
	 * Return whether the next send counts against the retry budget.
	 * @return whether an earlier send arrived at the service
	 */
	public boolean nextIsRetry() {
		return this.arrivals > 0;
	}

	/**
	 * Return the number of sends that arrived at the service.
	 * @return the number, at least 0
	 */
	public int arrivals() {
		return this.arrivals;
	}

	/**
	 * How a request continues after a send.
	 */
	public enum Decision {

		/** Send the request to another server. */
		SEND_AGAIN,

		/** Answer that the request has not run, with a Retry-After. */
		REFUSE,

		/** Answer that the request failed; it may have run. */
		FAIL,

		/** Close the caller's connection, so that the response does not look complete. */
		BREAK_OFF

	}

}

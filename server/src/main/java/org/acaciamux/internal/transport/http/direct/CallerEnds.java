package org.acaciamux.internal.transport.http.direct;

import org.acaciamux.internal.event.LogText;

/**
 * Counts and logs the connections of callers that the router ends without having
 * announced it in a response. Invariant: the lines are limited, the counters hold all of
 * them. Confined to the event loop.
 */
final class CallerEnds {

	private final LineLimit limit;

	private final DirectContext context;

	CallerEnds(DirectContext context) {
		this.context = context;
		this.limit = new LineLimit("caller-closed", context.log());
	}

	void tick() {
		this.limit.tick(this.context.now());
	}

	/**
	 * Record the end of a connection.
	 * @param cause why the router ends it
	 * @param idleMs time since the last bytes or response, in milliseconds
	 * @param readAhead number of messages that were read and are dropped
	 * @param reason the details
	 */
	void ended(Cause cause, long idleMs, int readAhead, String reason) {
		this.context.metrics().callerClosed(cause.label);
		if (cause.unused && readAhead == 0 || !this.limit.tryLine(this.context.now())) {
			return;
		}
		this.context.log()
			.line("event=caller-closed cause=" + cause.label + " idleMs=" + idleMs + " readAhead=" + readAhead
					+ " reason=" + LogText.quoted(reason));
	}

	/**
	 * Why a connection ends.
	 */
	enum Cause {

		/** No request within the idle time. */
		IDLE("idle", true),

		/** No request, and the router stops. */
		DRAIN("drain", true),

		/** The response cannot be completed. */
		BROKEN_OFF("broken-off", false),

		/** Reading or writing failed, or a handler of the router did. */
		FAILED("failed", false),

		/** The caller did not read its response within the idle time. */
		STALLED("stalled", false),

		/** Clients hold more than a limit allows, and this one most or longest. */
		LIMIT("limit", true),

		/** The process ends. */
		STOPPED("stopped", false),

		/** The caller closed it. */
		CALLER_LEFT("caller-left", false);

		private final String label;

		private final boolean unused;

		Cause(String label, boolean unused) {
			this.label = label;
			this.unused = unused;
		}

		String label() {
			return this.label;
		}

	}

}

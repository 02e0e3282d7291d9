package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

/**
 * Holds one request back while it is not known whether its prompt parts crash servers.
 * Invariant: a request is held for at most {@link #MAX_HOLD_MS} at a time. Confined to
 * the event loop.
 */
final class SuspectHold {

	/**
	 * Longest wait, in milliseconds: longer than a sound request takes to begin and to
	 * prove its parts.
	 */
	private static final long MAX_HOLD_MS = 1_500;

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final CrashHistory crashes;

	/** How the request continues, null while it is not held. */
	private Runnable next;

	private boolean waiting;

	private long since;

	SuspectHold(DirectContext context, CrashHistory crashes) {
		this.context = context;
		this.crashes = crashes;
	}

	/**
	 * Decide how a request continues before it is sent.
	 * @param action runs at the next check if the request is held
	 * @return the decision
	 */
	Decision decide(Runnable action) {
		if (this.crashes.refused()) {
			return Decision.REFUSE;
		}
		if (!this.crashes.mustWait()) {
			this.waiting = false;
			return Decision.SEND;
		}
		this.since = this.waiting ? this.since : this.context.now();
		this.waiting = true;
		if ((this.context.now() - this.since) / NANOS_PER_MS >= MAX_HOLD_MS) {
			return Decision.GIVE_UP;
		}
		this.next = action;
		return Decision.HOLD;
	}

	/**
	 * Hold a request for which no server was found, if it waits for one.
	 * @param none why there is none
	 * @param action runs at the next check if the request is held
	 * @return whether it is held
	 */
	boolean waits(ServerChoice.None none, Runnable action) {
		this.next = none.waits() ? action : null;
		return none.waits();
	}

	/**
	 * Return why a request is not sent although a connection is open.
	 * @param admitted the request
	 * @return the reason, empty if it may be sent
	 */
	Optional<String> endsBeforeSend(AdmittedRequest admitted) {
		if (admitted.remainingMs(this.context.now()) < 1) {
			return Optional.of("the time limit passed before the request was sent");
		}
		return this.crashes.refused() ? Optional.of("servers crashed while a connection was opened") : Optional.empty();
	}

	/**
	 * Let the request continue if it is held.
	 * @return whether it was
	 */
	boolean resume() {
		Runnable action = this.next;
		this.next = null;
		if (action != null) {
			action.run();
		}
		return action != null;
	}

	/**
	 * How a request continues.
	 */
	enum Decision {

		/** Send it to a server. */
		SEND(""),

		/** Ask again at the next check. */
		HOLD(""),

		/** End it: it has been held for too long. */
		GIVE_UP("was held back, because servers crashed under one of its prompt parts"),

		/** End it: it has something in common with requests that crash servers. */
		REFUSE("was running at several servers when they crashed, or has a prompt part that was");

		private final String reason;

		Decision(String reason) {
			this.reason = reason;
		}

		String reason() {
			return this.reason;
		}

		boolean ends() {
			return !this.reason.isEmpty();
		}

	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of the agent, numbers 2000 to 2999. Immutable and thread-safe.
 */
enum AgentEvent implements LogEvent {

	/** The backend server refuses connections or no longer answers probes. */
	BACKEND_DOWN(2001, Level.WARNING, "the backend server is down: %s"),
	/** The backend server answers probes again. */
	BACKEND_UP(2002, Level.INFO, "the backend server is up again"),
	/** The backend server runs in a new process. */
	BACKEND_RESTARTED(2003, Level.WARNING, "the backend server restarted: incarnation %s, now %s"),
	/** A response ended before it was complete. */
	RESPONSE_BROKEN_OFF(2004, Level.WARNING, "the response to request %s broke off after %d bytes: %s"),
	/** The backend server sent nothing within the pool's progress timeout. */
	NO_PROGRESS(2005, Level.WARNING, "request %s made no progress for %d ms and was cancelled"),
	/** A request ran past its deadline. */
	DEADLINE_EXCEEDED(2006, Level.INFO, "request %s was cancelled at its deadline after %d ms"),
	/** No router reconnected to resume a response. */
	ABANDONED(2007, Level.INFO, "request %s had no connection to a router for %d ms and was cancelled"),
	/** The drain has begun. */
	DRAIN_STARTED(2010, Level.INFO, "drain started with %d requests running and %d queued"),
	/** The drain waits for accepted work or cache transfers. */
	DRAIN_WAITING(2011, Level.INFO,
			"drain waits for %d running, %d queued and %d cache transfers; the oldest request has run for %d ms"),
	/** The drain has ended and the process may stop. */
	DRAIN_DONE(2012, Level.INFO, "drain is complete after %d ms"),
	/** The cache of a chat was not handed over. */
	HANDOVER_FAILED(2013, Level.INFO, "the cache of a chat was not handed over: %s");

	private final int number;

	private final Level level;

	private final String template;

	AgentEvent(int number, Level level, String template) {
		this.number = number;
		this.level = level;
		this.template = template;
	}

	@Override
	public int number() {
		return this.number;
	}

	@Override
	public Level level() {
		return this.level;
	}

	@Override
	public String template() {
		return this.template;
	}

}

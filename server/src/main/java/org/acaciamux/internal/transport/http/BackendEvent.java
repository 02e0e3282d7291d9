package org.acaciamux.internal.transport.http;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of connections to the backend server. Immutable and thread-safe.
 */
enum BackendEvent implements LogEvent {

	/** A response may be the one to another request and is not passed on. */
	RESPONSE_UNATTRIBUTED(6007, Level.WARNING, "a response %d to request %s is not passed on: %s"),
	/** Bytes arrived on a connection that carried no request. */
	UNREQUESTED_RESPONSE(6008, Level.INFO,
			"a connection to the backend server was closed because bytes arrived on it after the response to request %s");

	private final int number;

	private final Level level;

	private final String template;

	BackendEvent(int number, Level level, String template) {
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

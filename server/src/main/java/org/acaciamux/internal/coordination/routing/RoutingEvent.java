package org.acaciamux.internal.coordination.routing;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of the router role, numbers 1000 to 1999. Immutable and thread-safe.
 */
public enum RoutingEvent implements LogEvent {

	/** A drain began. */
	ROUTER_DRAINING(1000, Level.INFO, "The router takes no new requests and finishes %d in flight"),
	/** The last request of a drain ended. */
	ROUTER_DRAINED(1001, Level.INFO, "The router has no requests in flight any more"),
	/** Requests must be resolved over a new link. */
	LINK_RECOVERY(1002, Level.WARNING,
			"The link to agent %s was lost or went silent; its requests are resolved by id over a new link"),
	/** A request could not be resolved. */
	REQUEST_UNRESOLVED(1003, Level.WARNING, "Request %s at agent %s could not be resolved: %s"),
	/** A response contradicts the protocol between processes. */
	RESPONSE_INVALID(1004, Level.WARNING, "The response to request %s from agent %s is not usable: %s"),
	/** Requests are refused because the process is not ready. */
	NOT_READY(1005, Level.WARNING, "Requests are refused because %s"),
	/** Requests are accepted again. */
	READY_AGAIN(1006, Level.INFO, "Requests are accepted again");

	private final int number;

	private final Level level;

	private final String template;

	RoutingEvent(int number, Level level, String template) {
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

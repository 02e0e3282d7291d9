package org.acaciamux.internal.transport.peer;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of connections between processes. Immutable and thread-safe.
 */
enum PeerEvent implements LogEvent {

	LINK_OPENED(6000, Level.FINE, "link to VM %s opened, protocol version %d"),

	LINK_CLOSED(6001, Level.FINE, "link to VM %s closed: %s"),

	LINK_SILENT(6002, Level.WARNING,
			"link to VM %s is silent: a ping got no answer; requests in flight are resolved on a new link"),

	HANDSHAKE_REFUSED(6003, Level.WARNING, "handshake with VM %s refused: %s"),

	MALFORMED_FRAME(6004, Level.WARNING, "connection from %s closed: malformed frame: %s"),

	UNEXPECTED_FRAME(6005, Level.WARNING, "connection from %s closed: first frame is %s, expected HELLO"),

	CONNECT_FAILED(6006, Level.FINE, "connection to VM %s at %s:%d failed: %s");

	private final int number;

	private final Level level;

	private final String template;

	PeerEvent(int number, Level level, String template) {
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

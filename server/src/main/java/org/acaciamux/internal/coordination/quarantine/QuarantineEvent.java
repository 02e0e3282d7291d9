package org.acaciamux.internal.coordination.quarantine;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of the crash suspects, numbers 9000 to 9999. Immutable and thread-safe.
 */
enum QuarantineEvent implements LogEvent {

	/** The backend server crashed; the requests in flight became suspects. */
	SUSPECTED(9001, Level.WARNING, "the backend server crashed with %d distinct requests in flight, now suspects"),
	/** A request is refused until its entry expires. */
	QUARANTINED(9002, Level.WARNING, "fingerprint %016x is quarantined for %d ms after %d crashes, %d of them alone"),
	/** A suspect completed and is no longer one. */
	CLEARED(9003, Level.INFO, "fingerprint %016x completed and is no longer suspect"),
	/** An entry was dropped because the table is full. */
	EVICTED(9004, Level.WARNING, "the table of suspects is full; fingerprint %016x was dropped");

	private final int number;

	private final Level level;

	private final String template;

	QuarantineEvent(int number, Level level, String template) {
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

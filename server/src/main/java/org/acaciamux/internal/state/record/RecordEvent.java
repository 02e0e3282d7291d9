package org.acaciamux.internal.state.record;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of the record table. Immutable and thread-safe.
 */
public enum RecordEvent implements LogEvent {

	/** A record cannot be read; the version in force stays. */
	RECORD_UNREADABLE(4000, Level.WARNING,
			"record=%s version=%d cannot be read; version %d stays in force; correct the record or upgrade this process: %s"),
	/** A record that could not be read was replaced by a readable version. */
	RECORD_READABLE_AGAIN(4001, Level.INFO, "record=%s version=%d is readable and in force");

	private final int number;

	private final Level level;

	private final String template;

	RecordEvent(int number, Level level, String template) {
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

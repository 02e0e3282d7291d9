package org.acaciamux.internal.event;

import java.util.logging.Level;

/**
 * A numbered log event. Implemented by one enum per topic; numbers are unique over all
 * enums, never reused, and listed in {@code docs/EVENTS.md}. Implementations are
 * immutable and thread-safe.
 */
public interface LogEvent {

	/**
	 * Return the number of the event.
	 * @return 1000 to 9999
	 */
	int number();

	/**
	 * Return the level at which the event is logged.
	 * @return the level
	 */
	Level level();

	/**
	 * Return the message in {@link String#format} syntax.
	 * @return the template
	 */
	String template();

	/**
	 * Return the stable name of the event.
	 * @return the enum constant's name
	 */
	String name();

}

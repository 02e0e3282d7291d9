package org.acaciamux.internal.event;

import java.util.Locale;

import com.google.common.flogger.FluentLogger;

/**
 * Writes numbered events as structured lines through Flogger:
 * {@code event=<number> name=<name> <message>}. Thread-safe; holds no state.
 */
public final class EventLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private EventLog() {
	}

	/**
	 * Log an event.
	 * @param event the event
	 * @param args the arguments of its template
	 */
	public static void log(LogEvent event, Object... args) {
		FluentLogger.Api api = logger.at(event.level());
		if (api.isEnabled()) {
			api.log("%s", line(event, args));
		}
	}

	/**
	 * Log an event with the exception that led to it.
	 * @param event the event
	 * @param cause the exception
	 * @param args the arguments of its template
	 */
	public static void log(LogEvent event, Throwable cause, Object... args) {
		FluentLogger.Api api = logger.at(event.level());
		if (api.isEnabled()) {
			api.withCause(cause).log("%s", line(event, args));
		}
	}

	static String line(LogEvent event, Object... args) {
		String message = String.format(Locale.ROOT, event.template(), args);
		return "event=" + event.number() + " name=" + event.name() + " " + message;
	}

}

package org.acaciamux.internal.process;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of the life cycle of a process. Immutable and thread-safe.
 */
public enum ProcessEvent implements LogEvent {

	/** The ports are bound. */
	STARTED(7000, Level.INFO, "%s %s started in failure domain %s: callers %d, peers %d, admin %d"),

	/** The process became ready. */
	READY(7001, Level.INFO, "ready at configuration revision %d"),

	/** A drain began. */
	DRAIN_STARTED(7002, Level.INFO, "drain started; no new work is accepted"),

	/** A drain is still waiting. */
	DRAIN_WAITING(7003, Level.INFO, "drain waits for %s"),

	/** A drain ended. */
	DRAIN_FINISHED(7004, Level.INFO, "drain finished: %s"),

	/** A second signal ended the process. */
	SECOND_SIGNAL(7005, Level.WARNING, "second termination signal; ending at once, work in flight breaks off"),

	/** A settings file is invalid. */
	SETTINGS_INVALID(7006, Level.SEVERE, "settings are invalid: %s"),

	/** The process could not start. */
	START_FAILED(7007, Level.SEVERE, "start failed: %s"),

	/** An invariant does not hold. */
	INVARIANT_BROKEN(7008, Level.SEVERE, "an internal invariant does not hold; the process stops: %s"),

	/** A task failed. */
	TASK_FAILED(7009, Level.SEVERE, "a task failed unexpectedly: %s"),

	/** The process is no longer ready. */
	NOT_READY(7010, Level.WARNING, "not ready: %s"),

	/** This VM leaves according to the VM list or another agent. */
	TOLD_LEAVING(7011, Level.INFO, "this VM leaves according to the VM list or another agent; draining"),

	/** A drain is about to time out. */
	DRAIN_REFUSES(7012, Level.WARNING, "the drain times out in %d ms; requests without a response are refused: %s");

	private final int number;

	private final Level level;

	private final String template;

	ProcessEvent(int number, Level level, String template) {
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

package org.acaciamux.internal.coordination.configuration;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of the replication of records. Immutable and thread-safe.
 */
public enum ConfigurationEvent implements LogEvent {

	/** The process has records that it may work with. */
	CONFIGURATION_READY(4100, Level.INFO, "ready at revision=%d after %d ms: %s"),
	/** The process waits for peers because the platform does not answer. */
	CONFIGURATION_WAITING(4101, Level.WARNING,
			"not ready: %d of %d known peers gave their records and at least %d are needed while the platform is down"),
	/** The process starts or stops watching the platform. */
	WATCHER_ROLE(4102, Level.INFO, "watches the platform=%s position=%d in failureDomain=%s"),
	/** The platform does not answer a watcher. */
	PLATFORM_LOST(4103, Level.WARNING, "platform gives no answer to %s: %s; records stay in force"),
	/** The platform answers again. */
	PLATFORM_BACK(4104, Level.INFO, "platform answers again at revision=%d"),
	/** The watch was too old, so all records are listed. */
	WATCH_COMPACTED(4105, Level.INFO, "revision=%d is too old to watch from; listing all records"),
	/** Records came into force. */
	RECORDS_APPLIED(4106, Level.FINE, "records=%d from=%s revision=%d"),
	/** A peer did not answer and another is used. */
	PARENT_FAILED(4107, Level.INFO, "peer=%s does not answer comparisons: %s; using another for %d ms"),
	/** A frame carried a record that is not JSON. */
	RECORD_MALFORMED(4108, Level.WARNING, "record=%s version=%d from a peer is not JSON and is ignored: %s"),
	/** A VM list record cannot be read. */
	VM_LIST_MALFORMED(4109, Level.WARNING, "VM list of region=%s cannot be read and is ignored: %s"),
	/** The fleet status could not be written. */
	STATUS_NOT_WRITTEN(4110, Level.FINE, "fleet status of failureDomain=%s was not written: %s"),
	/** More frames arrive than are handled. */
	FRAMES_DROPPED(4111, Level.WARNING,
			"frames from peer=%s are dropped because %d wait; they are compared again later");

	private final int number;

	private final Level level;

	private final String template;

	ConfigurationEvent(int number, Level level, String template) {
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

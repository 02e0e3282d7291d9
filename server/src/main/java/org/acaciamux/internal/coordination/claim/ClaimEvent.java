package org.acaciamux.internal.coordination.claim;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of claims. Immutable and thread-safe.
 */
public enum ClaimEvent implements LogEvent {

	/** This agent became the owner of a partition and serves it. */
	PARTITION_TAKEN(3000, Level.INFO, "partition=%s previousOwner=%s keys=%d segments=%d"),
	/** A takeover ended without ownership. */
	PARTITION_TAKE_FAILED(3001, Level.INFO, "partition=%s reason=%s"),
	/** Another agent took the partition. */
	PARTITION_LOST(3002, Level.WARNING, "partition=%s reason=%s"),
	/** The partition was sealed and released. */
	PARTITION_RELEASED(3003, Level.INFO, "partition=%s"),
	/** A segment listed in the partition object is missing. */
	SEGMENT_MISSING(3004, Level.SEVERE,
			"partition=%s segment=%d floorMs=%d; keys up to the floor are refused because their claims are gone"),
	/** The platform refused a claim write. */
	CLAIM_WRITE_REFUSED(3005, Level.WARNING, "partition=%s entries=%d reason=%s"),
	/** The answer to a write was lost; whether the write took effect is being checked. */
	WRITE_UNCERTAIN(3006, Level.WARNING, "object=%s reason=%s"),
	/** Expired segments were removed from a partition. */
	SEGMENTS_EXPIRED(3007, Level.FINE, "partition=%s segments=%d floorMs=%d"),
	/** The pool's record names another number of partitions than the one in force. */
	PARTITION_COUNT_IGNORED(3008, Level.WARNING,
			"pool=%s wanted=%d inForce=%d; the number is fixed when a pool takes its first keyed call"),
	/** An object of the ledger can't be read. */
	OBJECT_INVALID(3009, Level.SEVERE,
			"object=%s; the partition is not served; correct the object but never delete it, because its claims would be forgotten");

	private final int number;

	private final Level level;

	private final String template;

	ClaimEvent(int number, Level level, String template) {
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

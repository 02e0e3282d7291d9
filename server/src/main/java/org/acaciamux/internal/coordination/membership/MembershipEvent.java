package org.acaciamux.internal.coordination.membership;

import java.util.logging.Level;

import org.acaciamux.internal.event.LogEvent;

/**
 * Log events of membership. Immutable and thread-safe.
 */
public enum MembershipEvent implements LogEvent {

	/** A member changed its state. */
	MEMBER_STATE(5000, Level.INFO, "member=%s from=%s to=%s"),
	/** A member was lost repeatedly and is held out. */
	MEMBER_HELD_OUT(5001, Level.WARNING, "member=%s losses=%d is not used for %d ms"),
	/** Most members of several failure domains are unreachable at once. */
	OWN_NETWORK_LOST(5002, Level.SEVERE,
			"members of %d failure domains became unreachable together; this process keeps its view and is not ready"),
	/** Members answer again, or the loss is attributed to the others. */
	OWN_NETWORK_BACK(5003, Level.INFO, "own network is considered intact again after %d ms: %s"),
	/** A VM list arrived that is older than the one held. */
	VM_LIST_OLD(5004, Level.FINE, "VM list of region=%s revision=%d is older than revision=%d and ignored"),
	/** No agent of a pool gave its view. */
	POOL_VIEW_MISSING(5100, Level.WARNING, "pool=%s no agent gave its view for %d ms; the last view stays in use"),
	/** Another agent told that this agent leaves. */
	TOLD_LEAVING(5101, Level.INFO, "agent=%s told that this agent leaves"),
	/** A frame of a pool exchange named another pool. */
	WRONG_POOL(5102, Level.WARNING, "agent=%s sent the load of pool=%s to pool=%s; check the VM list");

	private final int number;

	private final Level level;

	private final String template;

	MembershipEvent(int number, Level level, String template) {
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

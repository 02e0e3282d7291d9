package org.acaciamux.internal.coordination.membership;

/**
 * State of a VM as this process sees it. Immutable and thread-safe.
 */
public enum MemberState {

	/** Listed, but not heard from yet, or to be tried again after a loss. */
	JOINING(true),
	/** Listed and heard from. */
	LIVE(true),
	/** Heartbeats are missing, or a connection failed. */
	SUSPECT(false),
	/** Takes no new work and finishes what it runs. */
	LEAVING(false),
	/** No longer listed, or not heard from for long. */
	GONE(false);

	private final boolean acceptsWork;

	MemberState(boolean acceptsWork) {
		this.acceptsWork = acceptsWork;
	}

	/**
	 * Return whether new work may be sent to a member in this state.
	 * @return whether the member is eligible
	 */
	public boolean acceptsWork() {
		return this.acceptsWork;
	}

}

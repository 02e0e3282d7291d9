package org.acaciamux.internal.coordination.warmup;

/**
 * Why a server counts as cold. Immutable and thread-safe.
 */
public enum ColdReason {

	/** Its directory entry says so. */
	ENTRY("entry", false),

	/** One of its responses said so. */
	RESPONSE("response", true),

	/** This router saw a new lifetime of it. */
	NEW_LIFETIME("new-lifetime", true),

	/** Its failure domain is no longer evacuated. */
	DOMAIN_RETURNED("domain-returned", true),

	/** It accepted a connection after having refused one, so it may have restarted. */
	ACCEPTED_AGAIN("accepted-again", true),

	/** Another router said so. */
	PEER("peer", false);

	private final String label;

	private final boolean observedHere;

	ColdReason(String label, boolean observedHere) {
		this.label = label;
		this.observedHere = observedHere;
	}

	/**
	 * Return the name of the reason for the log.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Return whether only this router may know of it. What other routers said is not
	 * repeated: routers would prolong it for each other.
	 * @return whether the other routers are told
	 */
	boolean observedHere() {
		return this.observedHere;
	}

}

package org.acaciamux.internal.state;

/**
 * The order in which a thread acquires locks: a thread that holds a lock may only acquire
 * locks of a higher rank, which rules out deadlocks. It never holds two locks of the same
 * rank. Immutable and thread-safe.
 */
public enum LockRank {

	/**
	 * Serial tasks of configuration and membership, which change the tables listed below.
	 */
	SERIAL_TASKS,
	/** Records in force. */
	RECORD_TABLE,
	/** Members of pools. */
	MEMBER_TABLE,
	/** Links to peers. */
	LINK_TABLE,
	/** The server that ran the last request of each chat. */
	AFFINITY_TABLE,
	/** Requests that a router has in flight. */
	ROUTER_REQUESTS,
	/** Claims of a partition. */
	CLAIM_TABLE,
	/** Suspected and quarantined requests. */
	SUSPECT_TABLE,
	/** Queue and load of an agent. */
	ADMISSION,
	/** Requests that an agent has in flight. */
	AGENT_REQUESTS,
	/** The last bytes of one response, kept for a resume. */
	RESPONSE_TAIL,
	/** State of one session with a peer. */
	SESSION,
	/** Any lock under which no other lock is acquired. */
	LEAF

}

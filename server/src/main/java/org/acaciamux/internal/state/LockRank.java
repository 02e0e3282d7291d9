package org.acaciamux.internal.state;

/**
 * The order in which locks are taken: a thread that holds a lock may only take locks of a
 * higher rank. Two locks of one rank are never held together. Immutable and thread-safe.
 */
public enum LockRank {

	/** Serial tasks of configuration and membership, which change the tables below. */
	SERIAL_TASKS,
	/** Records in force. */
	RECORD_TABLE,
	/** Members of pools. */
	MEMBER_TABLE,
	/** Links to peers. */
	LINK_TABLE,
	/** Hints which server holds a chat. */
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
	/** The tail of one response. */
	RESPONSE_TAIL,
	/** State of one peer session. */
	SESSION,
	/** Any lock under which no other is taken. */
	LEAF

}

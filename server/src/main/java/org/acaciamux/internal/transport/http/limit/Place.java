package org.acaciamux.internal.transport.http.limit;

/**
 * Addresses of a process at which clients connect. Immutable and thread-safe.
 */
public enum Place {

	/** Callers. */
	LISTEN,

	/** Readiness checks of the load balancer. */
	READINESS,

	/** Other routers, and readers of the metrics. */
	PEER

}

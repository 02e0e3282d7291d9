package org.acaciamux.internal.coordination.warmup;

import java.util.Set;

import org.acaciamux.internal.state.StableHash;

/**
 * This router's share of a number of requests that all routers together may send to one
 * server. Answers the load pattern of up to several dozen routers that cannot observe
 * each other's sends. Invariants: the shares of routers with the same view add up to at
 * most the number; a router that knows more routers than another one has at most the
 * share that it would have with the view of that one, so that the sum holds as long as
 * each view contains all routers that send. Immutable and thread-safe.
 */
final class FleetShare {

	private final long self;

	private final long[] others;

	/**
	 * Create a share.
	 * @param self the address of this router
	 * @param routers the addresses of the other routers
	 */
	FleetShare(String self, Set<String> routers) {
		this.self = StableHash.of(self);
		this.others = routers.stream().filter((router) -> !router.equals(self)).mapToLong(StableHash::of).toArray();
	}

	/**
	 * Return this router's share. The remainder, or the whole number if there are more
	 * routers than requests, goes to the routers ranked first by a hash of server and
	 * router. A longer interval instead of a rank would not bound a single second: all
	 * routers would send at once when a server appears.
	 * @param total requests of all routers
	 * @param server the hash of the server's id
	 * @return requests of this router
	 */
	int of(int total, long server) {
		int routers = this.others.length + 1;
		int remainder = total % routers;
		return total / routers + ((remainder > 0 && rank(server) < remainder) ? 1 : 0);
	}

	private int rank(long server) {
		long own = StableHash.weight(this.self, server);
		int rank = 0;
		for (long other : this.others) {
			rank += (StableHash.weight(other, server) > own) ? 1 : 0;
		}
		return rank;
	}

}

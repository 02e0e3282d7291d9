package org.acaciamux.internal.coordination.direct;

import java.util.List;

import org.acaciamux.internal.state.StableHash;

/**
 * The two servers that a hash ranks first. Immutable and thread-safe.
 *
 * @param first the first server, null if there is none
 * @param second the second server, null if there is none
 */
record ServerPair(ServerState first, ServerState second) {

	/**
	 * Rank servers.
	 * @param servers the servers
	 * @param hash the hash of a chat or request
	 * @return the first two
	 */
	static ServerPair of(List<ServerState> servers, long hash) {
		ServerState first = null;
		ServerState second = null;
		long firstWeight = 0;
		long secondWeight = 0;
		for (ServerState server : servers) {
			long weight = StableHash.weight(hash, server.idHash());
			if (first == null || weight > firstWeight) {
				second = first;
				secondWeight = firstWeight;
				first = server;
				firstWeight = weight;
			}
			else if (second == null || weight > secondWeight) {
				second = server;
				secondWeight = weight;
			}
		}
		return new ServerPair(first, second);
	}

	boolean contains(ServerState server) {
		return server == this.first || server == this.second;
	}

}

package org.acaciamux.internal.coordination.membership;

/**
 * Load of the pool as an agent knows it. Implementations are thread-safe.
 */
public interface PoolLoadView {

	/**
	 * Return the load of the pool without this agent's own server.
	 * @return the load now
	 */
	PoolLoad poolLoad();

	/**
	 * Load of a pool.
	 *
	 * @param members members of the pool that do not leave, this agent included, at least
	 * 1; suspect ones count only while they are more than half of the others
	 * @param othersLoad sum of the loads of the other members; a member whose entry is
	 * older than 3 s counts as 0
	 * @param otherHealthy other live members whose backend server is up and that do not
	 * leave
	 */
	record PoolLoad(int members, int othersLoad, int otherHealthy) {
	}

}

package org.acaciamux.internal.coordination.claim;

import java.util.Optional;

import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Lets routers look up which agent owns the partition of a key. The result may be
 * outdated: an agent refuses a key that it does not own. Implementations are thread-safe.
 */
public interface PartitionOwners {

	/**
	 * Find the owner of a key's partition.
	 * @param pool the pool's settings
	 * @param key the idempotency key
	 * @return the id of the owner's VM, or empty if none is known
	 */
	Optional<String> owner(PoolSpec pool, String key);

}

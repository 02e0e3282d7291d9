package org.acaciamux.internal.coordination.membership;

import java.util.List;
import java.util.Optional;

/**
 * Read access to the members of the fleet as this process sees them. Implementations are
 * thread-safe; lists are immutable snapshots.
 */
public interface MembershipView {

	/**
	 * List the agents of a pool, whatever their state, except those that are gone.
	 * @param pool the pool's name
	 * @return the agents ordered by id
	 */
	List<Member> agents(String pool);

	/**
	 * List the routers, whatever their state, except those that are gone.
	 * @return the routers ordered by id
	 */
	List<Member> routers();

	/**
	 * Find a VM.
	 * @param id the VM's id
	 * @return the member, or empty if it is not known or gone
	 */
	Optional<Member> find(String id);

	/**
	 * Return whether this process considers its own network to be lost.
	 * @return whether evidence against other members must be ignored
	 */
	boolean ownNetworkLost();

}

package org.acaciamux.internal.coordination.membership;

import java.util.List;
import java.util.Optional;

/**
 * The fleet as this process sees it. Implementations are thread-safe; lists are immutable
 * snapshots.
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
	 * Return whether this process has concluded that its own network is lost.
	 * @return whether evidence about others is void
	 */
	boolean ownNetworkLost();

}

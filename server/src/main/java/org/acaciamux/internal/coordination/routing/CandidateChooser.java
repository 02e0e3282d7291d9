package org.acaciamux.internal.coordination.routing;

import java.util.List;
import java.util.Optional;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Decides in which order the backend servers of a pool are tried for a chat.
 * Implementations are thread-safe. The same input and hints give the same plan, except
 * for its last server, which takes the overflow of the others and varies from plan to
 * plan.
 */
public interface CandidateChooser {

	/**
	 * Plan the trials of a request.
	 * @param pool the pool's settings
	 * @param members the pool's agents as this router sees them, with their last known
	 * loads
	 * @param chat the identity of the chat, or a random text for a request without one
	 * @param holder the id of the server named in the caller's affinity token
	 * @return the trials in order; empty if no member accepts work
	 */
	List<Trial> plan(PoolSpec pool, List<Member> members, String chat, Optional<String> holder);

	/**
	 * Record which server ran a request of a chat.
	 * @param pool the pool's name
	 * @param chat the identity of the chat
	 * @param server the id of the VM whose backend server ran it
	 */
	void served(String pool, String chat, String server);

	/**
	 * One server to try.
	 *
	 * @param member the agent beside the server
	 * @param warm whether the server is believed to hold the chat's context
	 */
	record Trial(Member member, boolean warm) {
	}

}

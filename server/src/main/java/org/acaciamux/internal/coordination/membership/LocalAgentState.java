package org.acaciamux.internal.coordination.membership;

import java.util.List;

import org.acaciamux.internal.protocol.wire.SuspectEntry;

/**
 * Load and state of this agent, which the load exchange sends to the other agents of the
 * pool. Implemented by the admission layer. Implementations are thread-safe.
 */
public interface LocalAgentState {

	/**
	 * Return the requests that the backend server runs.
	 * @return the load, at least 0
	 */
	int load();

	/**
	 * Return the requests that wait.
	 * @return the length of the queue, at least 0
	 */
	int queued();

	/**
	 * Return whether the agent leaves.
	 * @return whether new work is refused
	 */
	boolean leaving();

	/**
	 * Return whether the backend server is down.
	 * @return whether the server accepts no connections
	 */
	boolean backendDown();

	/**
	 * Return the crash suspects to send to the other agents.
	 * @return at most 256 entries
	 */
	List<SuspectEntry> suspects();

	/**
	 * Merge the crash suspects that another agent sent.
	 * @param entries the entries that it sent
	 */
	void mergeSuspects(List<SuspectEntry> entries);

}

package org.acaciamux.internal.coordination.membership;

import java.util.List;

import org.acaciamux.internal.protocol.wire.SuspectEntry;

/**
 * What an agent tells the other agents of its pool about itself. Implemented by the
 * admission layer and read by the load exchange. Implementations are thread-safe.
 */
public interface OwnLoad {

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
	 * Return the crash suspects to tell the others.
	 * @return at most 256 entries
	 */
	List<SuspectEntry> suspects();

	/**
	 * Take over what another agent told about crash suspects.
	 * @param entries the entries
	 */
	void mergeSuspects(List<SuspectEntry> entries);

}

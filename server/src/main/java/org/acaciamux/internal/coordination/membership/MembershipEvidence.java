package org.acaciamux.internal.coordination.membership;

/**
 * Receives evidence about members from other parts of the process: answers, connections
 * and exchanged loads. Implementations are thread-safe.
 */
public interface MembershipEvidence {

	/**
	 * Note that a member was heard from.
	 * @param id the VM's id
	 * @param incarnation the incarnation of its process
	 */
	void heardFrom(String id, long incarnation);

	/**
	 * Note the load that a member reported.
	 * @param id the VM's id
	 * @param load requests that its backend server runs, at least 0
	 */
	void loadReported(String id, int load);

	/**
	 * Note that a connection to a member failed or went silent.
	 * @param id the VM's id
	 */
	void unreachable(String id);

	/**
	 * Note that a member leaves.
	 * @param id the VM's id
	 */
	void leaving(String id);

}

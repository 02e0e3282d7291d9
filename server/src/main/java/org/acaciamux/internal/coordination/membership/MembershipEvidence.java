package org.acaciamux.internal.coordination.membership;

/**
 * Takes evidence about members from the rest of the process: answers, connections and
 * exchanged loads. Implementations are thread-safe.
 */
public interface MembershipEvidence {

	/**
	 * The member was heard from.
	 * @param id the VM's id
	 * @param incarnation the incarnation of its process
	 */
	void heardFrom(String id, long incarnation);

	/**
	 * The member reported its load.
	 * @param id the VM's id
	 * @param load requests that its backend server runs, at least 0
	 */
	void loadOf(String id, int load);

	/**
	 * A connection to the member failed or went silent.
	 * @param id the VM's id
	 */
	void unreachable(String id);

	/**
	 * The member said that it leaves.
	 * @param id the VM's id
	 */
	void leaving(String id);

}

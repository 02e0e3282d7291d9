package org.acaciamux.internal.coordination.membership;

/**
 * A VM of the fleet as this process sees it. Immutable and thread-safe.
 *
 * @param id the VM's id, stable over restarts of its process
 * @param role {@code router} or {@code agent}
 * @param address the IP address
 * @param peerPort the port for connections between processes
 * @param region the region
 * @param failureDomain the failure domain
 * @param pool the pool that an agent's backend server belongs to, empty for routers
 * @param state the state
 * @param load the last known load, -1 if unknown
 */
public record Member(String id, String role, String address, int peerPort, String region, String failureDomain,
		String pool, MemberState state, int load) {

	/** Role of a router. */
	public static final String ROUTER = "router";

	/** Role of an agent. */
	public static final String AGENT = "agent";

	/**
	 * Return this member in another state.
	 * @param state the state
	 * @return the new member
	 */
	public Member withState(MemberState state) {
		return new Member(this.id, this.role, this.address, this.peerPort, this.region, this.failureDomain, this.pool,
				state, this.load);
	}

	/**
	 * Return this member with another load.
	 * @param load the load
	 * @return the new member
	 */
	public Member withLoad(int load) {
		return new Member(this.id, this.role, this.address, this.peerPort, this.region, this.failureDomain, this.pool,
				this.state, load);
	}

}

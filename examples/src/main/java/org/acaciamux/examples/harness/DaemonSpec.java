package org.acaciamux.examples.harness;

/**
 * The values that a router or an agent is started with. Immutable and thread-safe.
 *
 * @param role {@code router} or {@code agent}
 * @param id the VM's id
 * @param region the region
 * @param failureDomain the failure domain
 * @param pool the pool, empty for routers
 * @param backend {@code host:port} of the backend server, empty for routers
 */
public record DaemonSpec(String role, String id, String region, String failureDomain, String pool, String backend) {

	public static DaemonSpec router(String id, String region, String failureDomain) {
		return new DaemonSpec("router", id, region, failureDomain, "", "");
	}

	public static DaemonSpec agent(String id, String region, String failureDomain, String pool, String backend) {
		return new DaemonSpec("agent", id, region, failureDomain, pool, backend);
	}

	boolean isRouter() {
		return this.role.equals("router");
	}

}

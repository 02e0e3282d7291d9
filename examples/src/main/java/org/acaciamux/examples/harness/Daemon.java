package org.acaciamux.examples.harness;

/**
 * A router or an agent that was started. Immutable and thread-safe.
 *
 * @param spec the values that it was started with
 * @param process its process
 */
public record Daemon(DaemonSpec spec, ManagedProcess process) {

	public String id() {
		return this.spec.id();
	}

	/**
	 * Return the port for callers.
	 * @return the port, 0 for agents
	 */
	public int httpPort() {
		return this.process.awaitReadyLine().path("httpPort").asInt();
	}

	public int peerPort() {
		return this.process.awaitReadyLine().path("peerPort").asInt();
	}

	public int adminPort() {
		return this.process.awaitReadyLine().path("adminPort").asInt();
	}

}

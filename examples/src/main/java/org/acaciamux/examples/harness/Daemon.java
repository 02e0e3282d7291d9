package org.acaciamux.examples.harness;

/**
 * A running router or agent. Immutable and thread-safe.
 *
 * @param spec what it was started with
 * @param process its process
 */
public record Daemon(DaemonSpec spec, ManagedProcess process) {

	public String id() {
		return this.spec.id();
	}

	/**
	 * Return the port for callers, 0 for agents.
	 * @return the port
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

package org.acaciamux;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A running process: a router or an agent. Implementations are thread-safe.
 */
public interface Node extends AutoCloseable {

	/**
	 * Return the port for callers.
	 * @return the port, 0 for agents
	 */
	int httpPort();

	/**
	 * Return the port for other processes.
	 * @return the port
	 */
	int peerPort();

	/**
	 * Return the admin port.
	 * @return the port
	 */
	int adminPort();

	/**
	 * Return the state of the process without bodies and secrets.
	 * @return the state
	 */
	JsonNode dump();

	/**
	 * Take no new work and finish what is in flight. Blocks until everything has ended or
	 * the drain timeout has passed.
	 * @return whether everything ended
	 */
	boolean drain();

	/**
	 * Release ports and threads. What is still in flight breaks off.
	 */
	@Override
	void close();

}

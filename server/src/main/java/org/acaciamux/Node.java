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
	 * Return the state of the process for diagnosis, without bodies and secrets.
	 * @return the state as a JSON object
	 */
	JsonNode dump();

	/**
	 * Accept no new requests and finish those in flight. Blocks until all requests have
	 * ended or the drain timeout has passed.
	 * @return whether all requests have ended
	 */
	boolean drain();

	/**
	 * Release ports and threads. Requests that are still in flight are aborted.
	 */
	@Override
	void close();

}

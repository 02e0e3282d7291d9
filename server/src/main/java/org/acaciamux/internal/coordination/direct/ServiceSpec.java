package org.acaciamux.internal.coordination.direct;

/**
 * A service of the traffic configuration. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param maxConnections connections that one backend server accepts from all callers
 * @param memoryTokens capacity of a model engine's memory in tokens; 0 for other services
 * @param coldMs how long a server is cold after its start, in milliseconds
 * @param coldPerSecond requests per second that a cold server tolerates; 0 if it needs no
 * limit
 */
public record ServiceSpec(String name, int maxConnections, long memoryTokens, long coldMs, double coldPerSecond) {

	/**
	 * Create a service whose servers need no time to warm up.
	 * @param name the service's name
	 * @param maxConnections connections that one backend server accepts from all callers
	 * @param memoryTokens capacity of a model engine's memory in tokens
	 */
	public ServiceSpec(String name, int maxConnections, long memoryTokens) {
		this(name, maxConnections, memoryTokens, 0, 0);
	}

	/**
	 * Return whether the service's backend servers are model engines.
	 * @return whether they cache prompt parts
	 */
	public boolean engine() {
		return this.memoryTokens > 0;
	}

}

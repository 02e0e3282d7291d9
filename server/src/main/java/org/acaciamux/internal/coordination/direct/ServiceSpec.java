package org.acaciamux.internal.coordination.direct;

/**
 * A service of the traffic configuration. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param maxConnections connections that one backend server accepts from all callers
 * @param memoryTokens capacity of a model engine's memory in tokens; 0 for other services
 */
public record ServiceSpec(String name, int maxConnections, long memoryTokens) {

	/**
	 * Return whether the service's backend servers are model engines.
	 * @return whether they cache prompt parts
	 */
	public boolean engine() {
		return this.memoryTokens > 0;
	}

}

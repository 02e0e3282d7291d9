package org.acaciamux.internal.transport.http;

/**
 * Settings of the HTTP client for the backend server. Immutable and thread-safe.
 *
 * @param host the IP address of the server
 * @param port the port, 1 to 65,535
 * @param model whether the server is a model engine, which has the endpoints for health,
 * cancelling and cache transfer
 * @param connectTimeoutMs longest time to connect in milliseconds, 1 to 60,000
 * @param probeTimeoutMs longest time that a probe or a cancel may take in milliseconds, 1
 * to 60,000
 * @param maxIdle connections kept open without a request, 0 to 10,000
 * @param idleMs how long an idle connection is kept in milliseconds, 1 to 600,000; below
 * the idle limit of common servers (5 s), so that the client closes first
 */
public record BackendSettings(String host, int port, boolean model, int connectTimeoutMs, int probeTimeoutMs,
		int maxIdle, int idleMs) {

	/**
	 * Return default settings for a server.
	 * @param host the IP address of the server
	 * @param port the port
	 * @param model whether the server is a model engine
	 * @return the settings
	 */
	public static BackendSettings defaults(String host, int port, boolean model) {
		return new BackendSettings(host, port, model, 1_000, 1_000, 64, 2_000);
	}

}

package org.acaciamux.settings;

import java.util.Optional;

/**
 * Settings of a router that calls backend servers itself. Read with
 * {@link DirectSettingsFile}. Immutable and thread-safe.
 *
 * @param id the VM's id, 1 to 64 characters of {@code a-z 0-9 . -}
 * @param failureDomain the failure domain
 * @param listen the address to which callers connect
 * @param readiness the address at which the load balancer checks whether this router is
 * ready
 * @param peer the address to which other routers send messages (UDP) and at which they
 * request state (TCP); it also serves the metrics
 * @param store the address of the platform's store
 * @param drainTimeoutMs longest time from SIGTERM to the end of the process, in
 * milliseconds
 * @param retryRatio number of retries that the fleet allows per request, 0.0 to 1.0
 * @param retryAllowance number of retries beyond the ratio that the fleet allows in one
 * window
 * @param promptTokensPerMs number of prompt tokens that a model engine reads per
 * millisecond
 * @param stepMicrosPerRequest microseconds by which a running request delays each output
 * token of the others
 * @param features what a deployment turns on
 * @param clientLimits what all clients may use together
 */
public record DirectSettings(String id, String failureDomain, Endpoint listen, Endpoint readiness, Endpoint peer,
		Optional<Endpoint> store, long drainTimeoutMs, double retryRatio, int retryAllowance, int promptTokensPerMs,
		int stepMicrosPerRequest, FeatureSettings features, ClientLimits clientLimits) {

	/**
	 * Create settings with the default limits of clients.
	 */
	public DirectSettings(String id, String failureDomain, Endpoint listen, Endpoint readiness, Endpoint peer,
			Optional<Endpoint> store, long drainTimeoutMs, double retryRatio, int retryAllowance, int promptTokensPerMs,
			int stepMicrosPerRequest, FeatureSettings features) {
		this(id, failureDomain, listen, readiness, peer, store, drainTimeoutMs, retryRatio, retryAllowance,
				promptTokensPerMs, stepMicrosPerRequest, features, ClientLimits.defaults());
	}

}

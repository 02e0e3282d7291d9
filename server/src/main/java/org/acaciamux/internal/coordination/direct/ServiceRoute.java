package org.acaciamux.internal.coordination.direct;

import java.util.List;

/**
 * A route of the traffic configuration. Immutable and thread-safe.
 *
 * @param name the route's name, for logs
 * @param host the host in lower case, without a port
 * @param pathPrefix prefix of the route's paths; begins and ends with a slash
 * @param kind whether its requests may run again
 * @param targets the services that serve it with their weights, at least one
 * @param timeoutMs longest time until the final response, in milliseconds, at least 1
 * @param goalMs goal for the time until the response, or the first event of a stream, in
 * milliseconds
 * @param pauseGoalMs goal for the longest pause between events of a stream, in
 * milliseconds, 0 for other routes
 * @param maxAttempts largest number of backend servers that may run one attempt of a
 * caller, at least 1
 * @param priority rank of its requests, 0 is the most urgent
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may be resumed at another backend server
 */
public record ServiceRoute(String name, String host, String pathPrefix, RouteKind kind, List<Target> targets,
		long timeoutMs, long goalMs, long pauseGoalMs, int maxAttempts, int priority, boolean anonymous,
		boolean resumable) {

	/**
	 * Return whether a request that may have run may be sent to another server.
	 * @return whether it may run again
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

	/**
	 * Return whether responses are event streams.
	 * @return whether the route streams
	 */
	public boolean streaming() {
		return this.kind == RouteKind.STREAMING;
	}

	/**
	 * Choose the service of a request.
	 * @param hash a uniform hash of the request
	 * @return the service's name
	 */
	public String service(long hash) {
		if (this.targets.size() == 1) {
			return this.targets.get(0).service();
		}
		long total = this.targets.stream().mapToLong(Target::weight).sum();
		long point = Math.floorMod(hash, Math.max(1, total));
		for (Target target : this.targets) {
			point -= target.weight();
			if (point < 0) {
				return target.service();
			}
		}
		return this.targets.get(0).service();
	}

	/**
	 * A service with its share of a route's requests.
	 *
	 * @param service the service's name
	 * @param weight the share relative to the other targets, at least 0
	 */
	public record Target(String service, long weight) {
	}

}

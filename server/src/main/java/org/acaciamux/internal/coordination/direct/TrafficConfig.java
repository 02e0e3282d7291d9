package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The traffic configuration that is in force: routes, services, limits and keys of one
 * version, and services of earlier versions that still have servers. Immutable and
 * thread-safe.
 */
public final class TrafficConfig {

	private final long version;

	private final Map<String, List<ServiceRoute>> routes;

	private final Map<String, ServiceSpec> services;

	private final RequestLimits limits;

	private final Map<String, Organisation> keys;

	private final boolean keysRequired;

	/**
	 * Create a configuration.
	 * @param version the version; a higher one is newer
	 * @param routes the routes
	 * @param services the services by name
	 * @param limits limits on what callers send
	 * @param keys the organisations by key
	 * @param keysRequired whether requests need a key
	 */
	public TrafficConfig(long version, List<ServiceRoute> routes, Map<String, ServiceSpec> services,
			RequestLimits limits, Map<String, Organisation> keys, boolean keysRequired) {
		this.version = version;
		this.routes = new HashMap<>();
		for (ServiceRoute route : routes) {
			this.routes.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<ServiceRoute> longest = Comparator.comparingInt((route) -> -route.pathPrefix().length());
		this.routes.values().forEach((list) -> list.sort(longest));
		this.services = Map.copyOf(services);
		this.limits = limits;
		this.keys = Map.copyOf(keys);
		this.keysRequired = keysRequired;
	}

	private TrafficConfig(TrafficConfig other, Map<String, ServiceSpec> services) {
		this.version = other.version;
		this.routes = other.routes;
		this.services = Map.copyOf(services);
		this.limits = other.limits;
		this.keys = other.keys;
		this.keysRequired = other.keysRequired;
	}

	/**
	 * Add services that only an earlier configuration lists: requests that began with it
	 * may still be sent to them.
	 * @param earlier the earlier configuration
	 * @param inUse whether a service still has servers
	 * @return this configuration with the further services
	 */
	public TrafficConfig withServicesOf(TrafficConfig earlier, Predicate<String> inUse) {
		Map<String, ServiceSpec> all = new HashMap<>(this.services);
		earlier.services.values()
			.stream()
			.filter((service) -> inUse.test(service.name()))
			.forEach((service) -> all.putIfAbsent(service.name(), service));
		return new TrafficConfig(this, all);
	}

	/**
	 * Return the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return the limits on what callers send.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Find the route whose prefix is the longest match for a path.
	 * @param host the host in lower case, without a port
	 * @param path the path without its query
	 * @return the route, empty if none matches
	 */
	public Optional<ServiceRoute> route(String host, String path) {
		for (ServiceRoute route : this.routes.getOrDefault(host, List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Find a service.
	 * @param name the service's name
	 * @return the service, empty if the configuration does not list it
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Return whether a request on a route needs a key.
	 * @param route the route
	 * @return whether it needs one
	 */
	public boolean needsKey(ServiceRoute route) {
		return this.keysRequired && !route.anonymous();
	}

	/**
	 * Find the organisation that holds a key.
	 * @param key the key
	 * @return the organisation, empty if the key is unknown
	 */
	public Optional<Organisation> organisation(String key) {
		return Optional.ofNullable(this.keys.get(key));
	}

}

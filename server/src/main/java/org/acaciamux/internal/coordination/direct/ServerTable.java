package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.agrona.concurrent.NanoClock;

/**
 * The backend servers of all services. Invariants: the state of a server is kept as long
 * as its entry or a request at it; {@link #usable} lists no server that is removed, or
 * that leaves according to the directory, one of its responses or another router,
 * whichever said so first, or whose failure domain is evacuated. Confined to the event
 * loop.
 */
public final class ServerTable {

	/**
	 * How long the other routers are told of a departure that the directory shows, in
	 * nanoseconds: several messages, also in a large fleet in which not every message
	 * reaches every router.
	 */
	private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final NanoClock clock;

	private final Map<String, ServerState> servers = new HashMap<>();

	/** Servers without an entry that still have requests of this router. */
	private final Map<String, ServerState> unlisted = new HashMap<>();

	private final Map<String, List<ServerState>> usable = new HashMap<>();

	private final Departures departures;

	/** Names of the evacuated failure domains. */
	private Set<String> evacuated = Set.of();

	private TrafficConfig config;

	/**
	 * Create an empty table.
	 * @param clock the monotonic clock
	 */
	public ServerTable(NanoClock clock) {
		this.clock = clock;
		this.departures = new Departures(clock);
	}

	/**
	 * Apply the services of a configuration.
	 * @param next the configuration in force
	 */
	public void config(TrafficConfig next) {
		this.config = next;
		this.servers.values().forEach((server) -> server.cacheCapacity(memoryTokens(server.entry().service())));
	}

	/**
	 * Replace the entries of all servers.
	 * @param entries the entries by id
	 * @return lifetimes that ended without notice: the server restarted under its id, or
	 * was removed while it was not leaving
	 */
	public List<String> replace(Map<String, ServerEntry> entries) {
		List<String> ended = this.servers.values()
			.stream()
			.filter((server) -> endedWithoutNotice(server, entries))
			.map(ServerState::observedLifetime)
			.toList();
		this.servers.values()
			.stream()
			.map(ServerState::entry)
			.filter((entry) -> entry.startedMs() == 0 && !entries.containsKey(entry.id()))
			.forEach((entry) -> this.departures.forget(entry.lifetime()));
		keepUnlisted(entries);
		this.servers.keySet().retainAll(entries.keySet());
		entries.values().forEach(this::store);
		index();
		return ended;
	}

	private void keepUnlisted(Map<String, ServerEntry> entries) {
		this.unlisted.values().removeIf((server) -> server.inFlight() == 0);
		this.servers.forEach((id, server) -> {
			ServerEntry next = entries.get(id);
			boolean listed = next != null && next.service().equals(server.entry().service());
			if (!listed && server.inFlight() > 0) {
				this.unlisted.put(id, server);
			}
		});
	}

	private boolean endedWithoutNotice(ServerState server, Map<String, ServerEntry> entries) {
		ServerEntry next = entries.get(server.entry().id());
		return (next != null) ? server.restartsWith(next) : !leaves(server.entry());
	}

	private boolean leaves(ServerEntry entry) {
		return entry.draining() || this.departures.contains(entry.lifetime());
	}

	/**
	 * Record that a server leaves, because one of its responses or another router said
	 * so. It gets no new requests in this lifetime, whatever the directory lists.
	 * @param lifetime its {@link ServerEntry#lifetime()}
	 * @return whether this was not known
	 */
	public boolean leaving(String lifetime) {
		boolean known = findLifetime(lifetime).map(ServerState::entry).filter(this::leaves).isPresent();
		boolean added = this.departures.add(lifetime);
		if (added) {
			index();
		}
		return added && !known;
	}

	/**
	 * List the servers that leave, to tell the other routers: those that the directory
	 * does not show as leaving yet, and those of which it told a short time ago, because
	 * it may be silent at another router.
	 * @return their lifetimes
	 */
	public Set<String> announcedDepartures() {
		return this.servers.values()
			.stream()
			.map(ServerState::entry)
			.filter((entry) -> entry.draining() ? this.departures.announcedWithin(entry.lifetime(), TELL_NANOS)
					: leaves(entry))
			.map(ServerEntry::lifetime)
			.collect(Collectors.toSet());
	}

	private void store(ServerEntry entry) {
		// Without a start time a restarted server cannot be told from the former one.
		if (entry.draining() && entry.startedMs() != 0) {
			this.departures.add(entry.lifetime());
		}
		ServerState known = this.servers.getOrDefault(entry.id(), this.unlisted.get(entry.id()));
		if (known != null && known.entry().service().equals(entry.service())) {
			known.update(entry);
			this.servers.put(entry.id(), known);
			return;
		}
		this.servers.put(entry.id(), new ServerState(entry, memoryTokens(entry.service()), this.clock.nanoTime()));
	}

	private long memoryTokens(String service) {
		if (this.config == null) {
			return 0;
		}
		return this.config.service(service).map(ServiceSpec::memoryTokens).orElse(0L);
	}

	private boolean accepts(ServerEntry entry) {
		return !leaves(entry) && !this.evacuated.contains(entry.domain());
	}

	/**
	 * Set the evacuated failure domains. Their servers get no new requests.
	 * @param domains the names of all of them
	 */
	public void evacuated(Set<String> domains) {
		this.evacuated = Set.copyOf(domains);
		index();
	}

	/**
	 * Return whether the failure domain of a server is evacuated.
	 * @param server the server
	 * @return whether it is
	 */
	public boolean isEvacuated(ServerState server) {
		return this.evacuated.contains(server.entry().domain());
	}

	/**
	 * Return whether a service has servers that do not leave, also in evacuated domains.
	 * @param service the service's name
	 * @return whether it has
	 */
	public boolean serves(String service) {
		return this.servers.values()
			.stream()
			.map(ServerState::entry)
			.anyMatch((entry) -> entry.service().equals(service) && !leaves(entry));
	}

	private void index() {
		this.usable.clear();
		for (ServerState server : this.servers.values()) {
			if (accepts(server.entry())) {
				this.usable.computeIfAbsent(server.entry().service(), (name) -> new ArrayList<>()).add(server);
			}
		}
	}

	/**
	 * List the servers of a service that accept new requests.
	 * @param service the service's name
	 * @return the servers
	 */
	public List<ServerState> usable(String service) {
		return this.usable.getOrDefault(service, List.of());
	}

	/**
	 * Return whether a server that was chosen earlier still accepts new requests.
	 * @param server the server
	 * @return whether it is still listed, does not leave and is not evacuated
	 */
	public boolean isUsable(ServerState server) {
		return this.servers.get(server.entry().id()) == server && accepts(server.entry());
	}

	/**
	 * Find a server.
	 * @param id the server's id
	 * @return the server, empty if it is not listed
	 */
	public Optional<ServerState> find(String id) {
		return Optional.ofNullable(this.servers.get(id));
	}

	/**
	 * Record that bytes arrived from a server, which may have lost its entry.
	 * @param id the server's id
	 * @param now the monotonic time in nanoseconds
	 */
	public void received(String id, long now) {
		find(id).ifPresent((server) -> server.received(now));
		Optional.ofNullable(this.unlisted.get(id)).ifPresent((server) -> server.received(now));
	}

	/**
	 * Find a server by its lifetime.
	 * @param lifetime what {@link ServerEntry#lifetime()} returned
	 * @return the server, empty if it is not listed or has restarted
	 */
	public Optional<ServerState> findLifetime(String lifetime) {
		int end = lifetime.lastIndexOf('@');
		return find((end > 0) ? lifetime.substring(0, end) : "")
			.filter((server) -> server.entry().lifetime().equals(lifetime));
	}

	/**
	 * List all servers.
	 * @return the servers
	 */
	public Collection<ServerState> all() {
		return this.servers.values();
	}

	/**
	 * Set the number of requests of the other routers at each server.
	 * @param requests the numbers by server id; servers that are missing have none
	 */
	public void peersInFlight(Map<String, Integer> requests) {
		this.servers.forEach((id, server) -> server.peersInFlight(requests.getOrDefault(id, 0)));
	}

}

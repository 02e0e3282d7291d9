package org.acaciamux.internal.coordination.warmup;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.FleetSize;
import org.acaciamux.internal.coordination.direct.SendLimits;
import org.acaciamux.internal.coordination.direct.ServerEntry;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServerTable;
import org.acaciamux.internal.coordination.direct.ServiceSpec;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.state.StableHash;

/**
 * Decides whether this router may send one more request to a cold server now. Answers the
 * load pattern of servers that start during traffic while all routers have work for them.
 * Invariants: in any {@link #WINDOW_MS} this router sends at most its share to a cold
 * server, whatever was sent while the server still counted as warm included; it has no
 * share for {@link #START_MS} after its start and before the directory has listed the
 * routers. Confined to the event loop.
 */
public final class WarmupLimits implements SendLimits {

	/**
	 * Window in which sends are counted, in milliseconds: a second, and 20 ms for
	 * requests whose ways to the server take unequally long.
	 */
	static final long WINDOW_MS = 1_020;

	/**
	 * Time from the start of a router until it has a share, in milliseconds: what its
	 * former process sent has left the window, and the other routers, of which each tells
	 * a sample every 250 ms, have heard of it.
	 */
	static final long START_MS = 2_000;

	/**
	 * Share of the limit that is divided. The two sides of a partition may count
	 * different routers: the larger one may divide the whole number and the smaller one
	 * at most half of it, which together is the limit.
	 */
	private static final double DIVIDED_SHARE = 2.0 / 3;

	/** Covers rounding errors of that product, in requests. */
	private static final double ROUNDING = 1e-6;

	/**
	 * Cost of each token that a request reads or generates at a cold model engine, in
	 * milliseconds: its few requests in each second are to be short ones.
	 */
	private static final double MS_PER_TOKEN = 1;

	private final ColdServers cold = new ColdServers();

	private final Map<String, Deque<Long>> sends = new HashMap<>();

	/** The observed lifetime of each server, by its lifetime. */
	private final Map<String, String> observedLifetimes = new HashMap<>();

	private final Map<String, ColdReason> reported = new HashMap<>();

	private final ServerTable servers;

	private final FleetSize fleet;

	private final NanoClock clock;

	private final double overrun;

	private final WarmupObserver observer;

	private final long startedAt;

	private Optional<FleetShare> share = Optional.empty();

	private Optional<TrafficConfig> config = Optional.empty();

	/**
	 * Create the limits of a router that has just started.
	 * @param servers the backend servers
	 * @param fleet the routers that share the limits
	 * @param clock the monotonic clock
	 * @param overrun factor by which a cold server may get more than the configured
	 * requests, 0 if nothing is limited
	 * @param observer receives the changes
	 */
	public WarmupLimits(ServerTable servers, FleetSize fleet, NanoClock clock, double overrun,
			WarmupObserver observer) {
		this.servers = servers;
		this.fleet = fleet;
		this.clock = clock;
		this.overrun = overrun;
		this.observer = observer;
		this.startedAt = clock.nanoTime();
	}

	/**
	 * Apply the warm-up times and limits of a configuration.
	 * @param next the configuration in force
	 */
	public void config(TrafficConfig next) {
		this.config = Optional.of(next);
	}

	/**
	 * Divide the limits among the routers that are known now, and report the changes of
	 * cold servers. Called with each message to the other routers.
	 */
	public void update() {
		if (this.overrun <= 0) {
			return;
		}
		this.share = this.fleet.divisor().isEmpty() ? Optional.empty()
				: Optional.of(new FleetShare(this.fleet.self(), this.fleet.sharingRouters()));
		Set<String> gone = new HashSet<>(this.reported.keySet());
		for (ServerState server : this.servers.all()) {
			String lifetime = server.entry().lifetime();
			Optional<ColdServers.Cold> state = find(server);
			state.ifPresent((found) -> {
				gone.remove(lifetime);
				if (this.reported.put(lifetime, found.reason()) != found.reason()) {
					this.observer.cold(lifetime, found.reason(), found.leftMs());
				}
			});
		}
		gone.forEach((lifetime) -> this.observer.warm(lifetime, this.reported.remove(lifetime)));
		this.sends.keySet().removeIf((id) -> this.servers.find(id).isEmpty());
		this.observedLifetimes.keySet().removeIf((lifetime) -> this.servers.findLifetime(lifetime).isEmpty());
	}

	/**
	 * Record the entries of all servers.
	 * @param entries the entries
	 */
	public void listed(Collection<ServerEntry> entries) {
		this.cold.listed(entries, this.clock.nanoTime());
	}

	/**
	 * Record that a failure domain is no longer evacuated. Its servers may be cold.
	 * @param domain the failure domain
	 */
	public void domainReturned(String domain) {
		this.cold.domainReturned(domain, this.clock.nanoTime());
	}

	/**
	 * Record what a server said in a response.
	 * @param server the server
	 * @param leftMs how much longer it is cold, in milliseconds
	 */
	public void reported(ServerState server, long leftMs) {
		this.cold.reported(server.entry().id(), leftMs, this.clock.nanoTime());
	}

	/**
	 * Record what another router said.
	 * @param leftMs milliseconds that servers are still cold, by lifetime
	 */
	public void told(Map<String, Long> leftMs) {
		leftMs.forEach((lifetime, ms) -> this.cold.told(lifetime, ms, this.clock.nanoTime()));
	}

	/**
	 * List the cold servers whose entries do not show it yet, to tell the other routers.
	 * @return milliseconds that they are still cold, by lifetime
	 */
	public Map<String, Long> announced() {
		Map<String, Long> announced = new HashMap<>();
		for (ServerState server : this.servers.all()) {
			find(server).filter((found) -> found.reason().observedHere() && server.entry().coldLeftMs() == 0)
				.ifPresent((found) -> announced.put(server.entry().lifetime(), found.leftMs()));
		}
		return announced;
	}

	private Optional<ServiceSpec> limited(ServerState server) {
		if (this.overrun <= 0) {
			return Optional.empty();
		}
		return this.config.flatMap((known) -> known.service(server.entry().service()))
			.filter((spec) -> spec.coldPerSecond() > 0);
	}

	private Optional<ColdServers.Cold> find(ServerState server) {
		return limited(server).flatMap((spec) -> {
			long now = this.clock.nanoTime();
			String observed = server.observedLifetime();
			String former = this.observedLifetimes.put(server.entry().lifetime(), observed);
			if (former != null && !former.equals(observed)) {
				this.cold.observed(server.entry().id(), ColdReason.ACCEPTED_AGAIN, now);
			}
			return this.cold.find(server.entry(), spec.coldMs(), now);
		});
	}

	/**
	 * Return how many cold servers are known.
	 * @return the number after the last {@link #update}
	 */
	public int coldServers() {
		return this.reported.size();
	}

	@Override
	public boolean allows(ServerState server) {
		return find(server).isEmpty() || recent(server).size() < share(server);
	}

	@Override
	public double costMs(ServerState server, CallerRequest request) {
		if (request.prompt().isEmpty() || find(server).isEmpty()) {
			return 0;
		}
		int read = request.prompt().stream().mapToInt((part) -> part.tokens()).sum();
		return MS_PER_TOKEN * (read + request.maxOutputTokens());
	}

	/**
	 * Draw on the share, immediately before a request is written to a connection.
	 * @param server the server
	 * @return whether the request may be sent
	 */
	public boolean trySend(ServerState server) {
		if (limited(server).isEmpty()) {
			return true;
		}
		boolean isCold = find(server).isPresent();
		boolean allowed = !isCold || recent(server).size() < share(server);
		if (allowed) {
			recent(server).addLast(this.clock.nanoTime());
		}
		if (isCold) {
			this.observer.send(allowed);
		}
		return allowed;
	}

	/**
	 * Give back the last draw, because nothing was sent.
	 * @param server the server
	 */
	public void putBack(ServerState server) {
		if (limited(server).isPresent()) {
			recent(server).pollLast();
		}
	}

	/**
	 * Return when this router may send a request to one of a service's cold servers.
	 * @param service the service
	 * @param tried ids of the servers that are not considered
	 * @return milliseconds until then, empty if it has no share of any
	 */
	public OptionalLong freeInMs(String service, Set<String> tried) {
		long now = this.clock.nanoTime();
		return this.servers.usable(service)
			.stream()
			.filter((server) -> !tried.contains(server.entry().id()) && share(server) > 0)
			.mapToLong((server) -> freeInMs(server, now))
			.min();
	}

	private long freeInMs(ServerState server, long now) {
		Deque<Long> recent = recent(server);
		int excess = recent.size() - share(server);
		if (excess < 0) {
			return 0;
		}
		Iterator<Long> oldest = recent.iterator();
		long freeAt = oldest.next();
		for (int i = 0; i < excess; i++) {
			freeAt = oldest.next();
		}
		return WINDOW_MS - TimeUnit.NANOSECONDS.toMillis(now - freeAt);
	}

	private Deque<Long> recent(ServerState server) {
		Deque<Long> recent = this.sends.computeIfAbsent(server.entry().id(), (id) -> new ArrayDeque<>());
		long now = this.clock.nanoTime();
		while (!recent.isEmpty() && now - recent.peekFirst() >= TimeUnit.MILLISECONDS.toNanos(WINDOW_MS)) {
			recent.removeFirst();
		}
		return recent;
	}

	private int share(ServerState server) {
		boolean started = this.clock.nanoTime() - this.startedAt >= TimeUnit.MILLISECONDS.toNanos(START_MS);
		if (!started || this.share.isEmpty()) {
			return 0;
		}
		double total = limited(server).map(ServiceSpec::coldPerSecond).orElse(0.0) * this.overrun * DIVIDED_SHARE;
		return this.share.get().of((int) (total + ROUNDING), StableHash.of(server.entry().id()));
	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.CrashSuspects;
import org.acaciamux.internal.coordination.direct.DrainAdmission;
import org.acaciamux.internal.coordination.direct.DrainTimes;
import org.acaciamux.internal.coordination.direct.FleetSize;
import org.acaciamux.internal.coordination.direct.Placement;
import org.acaciamux.internal.coordination.direct.PromptSuspects;
import org.acaciamux.internal.coordination.direct.RecentPlacements;
import org.acaciamux.internal.coordination.direct.RetryBudgets;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServerTable;
import org.acaciamux.internal.coordination.direct.ServiceSpec;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.coordination.hedge.HedgePolicy;
import org.acaciamux.internal.coordination.warmup.WarmupLimits;
import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.transport.http.limit.ClientAccount;

/**
 * Components and state that the requests of one router share. Confined to the event loop.
 */
public final class DirectContext {

	/** Connections to a backend server that every router may open. */
	private static final int MIN_CONNECTION_SHARE = 2;

	private final Set<DirectExchange> exchanges = new HashSet<>();

	private final EventLoop loop;

	private final NanoClock clock;

	private final WireFormat format;

	private final ServerTable servers;

	private final Placement placement;

	private final ServerChannels channels;

	private final FleetSize fleet;

	private final RetryBudgets budgets;

	private final CrashSuspects suspects;

	private final PromptSuspects promptSuspects;

	private final CrashCheck crashCheck;

	private final DirectMetrics metrics;

	private final DecisionLog log;

	private final RecentPlacements placements = new RecentPlacements();

	private final BodyBudget bodyBudget;

	private final ClientAccount clients;

	private final HeldBytes heldBytes = new HeldBytes();

	private final Admission admission;

	private final WarmupLimits warmup;

	private final DrainAdmission drainAdmission = new DrainAdmission();

	private Optional<TrafficConfig> config = Optional.empty();

	private final List<DirectExchange> waiting = new ArrayList<>();

	private boolean serversKnown;

	private boolean evacuationsKnown = true;

	private Optional<DrainTimes> drain = Optional.empty();

	private OptionalInt divisor = OptionalInt.empty();

	private final EvacuatedSends evacuatedSends = new EvacuatedSends(this);

	/** Null while hedging is off, so that nothing of it is loaded. */
	private HedgePolicy hedging;

	private final LoopPauses pauses;

	private final ReadOpportunity readOpportunity;

	/**
	 * Create the shared components.
	 * @param loop the event loop of the router
	 * @param clock the monotonic clock
	 * @param format reads and writes headers
	 * @param servers the backend servers
	 * @param placement chooses backend servers
	 * @param fleet number of routers that share the limits of the fleet
	 * @param warmup limits of cold servers
	 * @param admission refuses requests that would wait for too long
	 * @param budgets retry budgets
	 * @param suspects requests that crash servers
	 * @param promptSuspects prompt parts that crash servers
	 * @param bodyBudget bounds the memory of requests
	 * @param clients bounds the memory and connections of clients
	 * @param metrics counters and histograms
	 * @param log receives a line for each decision
	 */
	public DirectContext(EventLoop loop, NanoClock clock, WireFormat format, ServerTable servers, Placement placement,
			FleetSize fleet, WarmupLimits warmup, Admission admission, RetryBudgets budgets, CrashSuspects suspects,
			PromptSuspects promptSuspects, BodyBudget bodyBudget, ClientAccount clients, DirectMetrics metrics,
			DecisionLog log) {
		this.loop = loop;
		this.clock = clock;
		this.format = format;
		this.servers = servers;
		this.placement = placement;
		this.fleet = fleet;
		this.warmup = warmup;
		this.budgets = budgets;
		this.suspects = suspects;
		this.promptSuspects = promptSuspects;
		this.bodyBudget = bodyBudget;
		this.clients = clients;
		this.crashCheck = new CrashCheck(this);
		this.metrics = metrics;
		this.log = log;
		this.admission = admission;
		this.pauses = new LoopPauses(clock.nanoTime(), new ThreadTimes()::read, metrics, log);
		this.readOpportunity = new ReadOpportunity(clock, this::readUntil, loop::schedule);
		this.channels = new ServerChannels(loop, servers, format, clock, this::connectionShare, metrics, log);
	}

	/**
	 * Send requests to a second server while the first one is slow. Called before the
	 * first request.
	 * @param percent hedges for each 100 requests of a service, 1 to 100
	 */
	public void hedge(int percent) {
		HedgePolicy policy = new HedgePolicy(percent, this.clock);
		this.hedging = policy;
		this.budgets.saveUpHedge();
		this.metrics.hedgesLeft(policy::left);
	}

	/**
	 * Put a configuration in force.
	 * @param next the configuration, newer than the one before
	 */
	public void config(TrafficConfig next) {
		this.config = Optional.of(next);
		this.servers.config(next);
		this.warmup.config(next);
		startWaiting();
	}

	/**
	 * Mark the backend servers as known and start the requests that waited for them.
	 */
	public void serversKnown() {
		this.serversKnown = true;
		startWaiting();
	}

	/**
	 * Serve nothing until it is known which failure domains are evacuated.
	 */
	public void awaitEvacuations() {
		this.evacuationsKnown = false;
		this.channels.resetUndelivered();
	}

	/**
	 * Record that it is known which failure domains are evacuated, and that the server
	 * table leaves out their servers.
	 * @param begun domains that are evacuated from now on
	 */
	public void evacuated(Set<String> begun) {
		this.evacuationsKnown = true;
		this.evacuatedSends.evacuated(begun);
		startWaiting();
	}

	private void startWaiting() {
		if (!serviceable()) {
			return;
		}
		List<DirectExchange> waiting = List.copyOf(this.waiting);
		this.waiting.clear();
		waiting.forEach(DirectExchange::start);
	}

	/**
	 * Return whether requests can be served, for which a configuration, the backend
	 * servers and the evacuated failure domains must be known.
	 * @return whether all are known
	 */
	public boolean serviceable() {
		return this.serversKnown && this.evacuationsKnown && this.config.isPresent();
	}

	/**
	 * Record that a server's lifetime ended without notice.
	 * @param lifetime the {@link ServerState#observedLifetime()} of the server
	 */
	public void serverEnded(String lifetime) {
		this.crashCheck.lifetimeEnded(lifetime);
	}

	void addWaiting(DirectExchange exchange) {
		this.waiting.add(exchange);
	}

	/**
	 * Return the configuration in force.
	 * @return the configuration, empty until one is known
	 */
	public Optional<TrafficConfig> config() {
		return this.config;
	}

	/**
	 * Divide the limits of the fleet anew, because the number of routers may have
	 * changed.
	 */
	public void shareLimits() {
		if (!this.fleet.divisor().equals(this.divisor)) {
			this.divisor = this.fleet.divisor();
			this.log.line("event=limits-divided routers=" + this.fleet.known() + " listed=" + this.divisor.isPresent());
		}
		this.budgets.routers(this.divisor);
		this.warmup.update();
		this.placement.routers(this.fleet.known());
	}

	/**
	 * Record that this router has joined the fleet and is no restarted part of it.
	 */
	public void joined() {
		this.budgets.joined();
	}

	/**
	 * Return the placements since the last message to the other routers.
	 * @return the placements, with their prompts
	 */
	public RecentPlacements placements() {
		return this.placements;
	}

	/**
	 * Close each connection after its next response, and send only requests that end
	 * before the router stops.
	 * @param times the times of the drain
	 */
	public void drain(DrainTimes times) {
		this.drain = Optional.of(times);
	}

	boolean draining() {
		return this.drain.isPresent();
	}

	Optional<DrainTimes> drainTimes() {
		return this.drain;
	}

	/**
	 * Return the number of requests in progress.
	 * @return the number, at least 0
	 */
	public int inFlight() {
		return this.exchanges.size();
	}

	/**
	 * Check time limits. Called every 20 to 100 ms.
	 */
	public void tick() {
		long readUntil = this.pauses.check(now());
		for (DirectExchange exchange : this.exchanges.toArray(DirectExchange[]::new)) {
			exchange.tick(readUntil);
		}
		this.channels.tick();
	}

	/**
	 * Return the time up to which everything that arrived has been read. After a pause of
	 * the event loop this is its beginning, until the next check.
	 * @return the time, monotonic in nanoseconds
	 */
	public long readUntil() {
		return this.pauses.readUntil(now());
	}

	/**
	 * Run an action when everything that has arrived by now has been read.
	 * @param action the action, which decides again
	 */
	void afterReading(Runnable action) {
		this.readOpportunity.after(action);
	}

	/**
	 * End all requests in progress because the process stops.
	 */
	public void stopAll() {
		for (DirectExchange exchange : this.exchanges.toArray(DirectExchange[]::new)) {
			exchange.stop();
		}
	}

	void add(DirectExchange exchange) {
		this.exchanges.add(exchange);
	}

	void remove(DirectExchange exchange) {
		this.exchanges.remove(exchange);
		this.waiting.remove(exchange);
	}

	long now() {
		return this.clock.nanoTime();
	}

	EventLoop loop() {
		return this.loop;
	}

	WireFormat format() {
		return this.format;
	}

	ServerTable servers() {
		return this.servers;
	}

	Placement placement() {
		return this.placement;
	}

	WarmupLimits warmup() {
		return this.warmup;
	}

	ServerChannels channels() {
		return this.channels;
	}

	Admission admission() {
		return this.admission;
	}

	DrainAdmission drainAdmission() {
		return this.drainAdmission;
	}

	RetryBudgets budgets() {
		return this.budgets;
	}

	// Null while hedging is off.
	HedgePolicy hedging() {
		return this.hedging;
	}

	/**
	 * Record that a request was refused because of load.
	 * @param service its service
	 */
	void refusedForLoad(String service) {
		if (this.hedging != null) {
			this.hedging.refused(service);
		}
	}

	CrashSuspects suspects() {
		return this.suspects;
	}

	PromptSuspects promptSuspects() {
		return this.promptSuspects;
	}

	CrashCheck crashCheck() {
		return this.crashCheck;
	}

	boolean onlyRouter() {
		return this.fleet.known() == 1;
	}

	/**
	 * Return the number of connections that a server of a service accepts.
	 * @param service the service
	 * @return the number of connections from all routers
	 */
	int maxConnections(String service) {
		return this.config.flatMap((config) -> config.service(service)).map(ServiceSpec::maxConnections).orElse(1);
	}

	EvacuatedSends evacuatedSends() {
		return this.evacuatedSends;
	}

	BodyBudget bodyBudget() {
		return this.bodyBudget;
	}

	ClientAccount clients() {
		return this.clients;
	}

	NanoClock clock() {
		return this.clock;
	}

	HeldBytes heldBytes() {
		return this.heldBytes;
	}

	DirectMetrics metrics() {
		return this.metrics;
	}

	DecisionLog log() {
		return this.log;
	}

	private int connectionShare(int maxConnections) {
		return this.fleet.connections(maxConnections, MIN_CONNECTION_SHARE);
	}

}

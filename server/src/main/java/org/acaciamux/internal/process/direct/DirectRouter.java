package org.acaciamux.internal.process.direct;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemNanoClock;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.CrashObserver;
import org.acaciamux.internal.coordination.direct.CrashSuspects;
import org.acaciamux.internal.coordination.direct.DirectoryPosition;
import org.acaciamux.internal.coordination.direct.DrainTimes;
import org.acaciamux.internal.coordination.direct.ExchangePolicy;
import org.acaciamux.internal.coordination.direct.FleetLoads;
import org.acaciamux.internal.coordination.direct.FleetSize;
import org.acaciamux.internal.coordination.direct.Placement;
import org.acaciamux.internal.coordination.direct.PlacementSettings;
import org.acaciamux.internal.coordination.direct.PromptSuspects;
import org.acaciamux.internal.coordination.direct.RetryBudgets;
import org.acaciamux.internal.coordination.direct.ServerEntry;
import org.acaciamux.internal.coordination.direct.ServerTable;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.coordination.evacuation.EvacuatedDomains;
import org.acaciamux.internal.coordination.evacuation.EvacuationSet;
import org.acaciamux.internal.coordination.warmup.WarmupLimits;
import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.process.MetricsText;
import org.acaciamux.internal.protocol.JsonTrees;
import org.acaciamux.internal.state.GuardedTask;
import org.acaciamux.internal.transport.http.direct.BodyBudget;
import org.acaciamux.internal.transport.http.direct.DirectContext;
import org.acaciamux.internal.transport.http.direct.DirectFrontend;
import org.acaciamux.internal.transport.http.direct.DirectMetrics;
import org.acaciamux.internal.transport.http.direct.WireFormat;
import org.acaciamux.internal.transport.http.limit.ClientAccount;
import org.acaciamux.internal.transport.http.limit.ClientBounds;
import org.acaciamux.internal.transport.http.limit.Place;
import org.acaciamux.settings.DirectSettings;
import org.acaciamux.settings.Endpoint;

/**
 * Wiring and life cycle of a router that calls backend servers itself. Invariants: it is
 * ready only while it has a configuration, a list of backend servers and, if enabled, the
 * evacuated failure domains, and is not draining; all work runs on one event loop.
 * {@link #drain} may be called by any thread.
 */
public final class DirectRouter implements Directory.Listener {

	/** Interval of the checks of time limits, in milliseconds. */
	private static final long TICK_INTERVAL_MS = 40;

	/**
	 * Interval at which placements are saved, in milliseconds: a fleet that restarts
	 * loses the placements of up to this time.
	 */
	private static final long SAVE_INTERVAL_MS = 3_000;

	/** Interval of the checks of idle connections, in milliseconds. */
	private static final long IDLE_CHECK_INTERVAL_MS = 500;

	/**
	 * Time from the start of a drain until no more connections are accepted, in
	 * milliseconds: the load balancer checks readiness once a second and stops sending
	 * requests after two negative results.
	 */
	private static final long STOP_ACCEPTING_AFTER_MS = 2_600;

	/**
	 * Time reserved for the last responses before the process is killed, in milliseconds.
	 */
	private static final long STOP_MARGIN_MS = 600;

	/** Part of that time in which callers can read the rest, in milliseconds. */
	private static final long LAST_WRITES_MS = 400;

	/** Time in which the event loop reads all connections, in milliseconds. */
	private static final long READ_PASS_MS = 10;

	/** Largest number of prompt parts that are listed for operators. */
	private static final int MAX_LISTED_PARTS = 64;

	private static final double MICROS_PER_MS = 1000.0;

	private final NanoClock clock = SystemNanoClock.INSTANCE;

	private final EventLoop loop;

	private final DirectSettings settings;

	private final DecisionLog log;

	private final MetricRegistry registry = new MetricRegistry();

	private final ServerTable servers;

	private final PromptSuspects promptSuspects;

	private final DirectContext context;

	private final int descriptors;

	private final ClientAccount clients;

	private final DirectFrontend frontend;

	private final Directory directory;

	private final PeerExchange peers;

	/** Empty if evacuations are not enabled. */
	private final Optional<EvacuatedDomains> evacuations;

	private final FleetLoads loads;

	private final FleetSize fleet;

	private final WarmupLimits warmup;

	private int listenPort;

	private int readinessPort;

	private boolean draining;

	/** Whether the drain has timed out and waits for a last pass of reading. */
	private boolean lastRead;

	private boolean stopped;

	/**
	 * Create a router.
	 * @param settings its settings
	 * @param format reads and writes headers
	 * @param directories creates the directory
	 * @param log receives a line for each decision
	 */
	public DirectRouter(DirectSettings settings, WireFormat format, Directory.Factory directories, DecisionLog log) {
		this(settings, format, directories, log, new BodyBudget(BodyBudget.DEFAULT_MAX_BYTES));
	}

	/**
	 * Create a router with a budget for the memory of requests.
	 * @param settings its settings
	 * @param format reads and writes headers
	 * @param directories creates the directory
	 * @param log receives a line for each decision
	 * @param bodyBudget bounds the memory of requests
	 */
	public DirectRouter(DirectSettings settings, WireFormat format, Directory.Factory directories, DecisionLog log,
			BodyBudget bodyBudget) {
		this.settings = settings;
		this.log = log;
		this.loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
		this.servers = new ServerTable(this.clock);
		this.loads = new FleetLoads(this.clock);
		this.fleet = new FleetSize(this.clock, settings.peer().toString());
		DirectMetrics metrics = new DirectMetrics(this.registry);
		CrashObserver observer = (change, subject, detail) -> {
			metrics.crash(change);
			log.line("event=crash-" + change.label() + " " + subject + " " + detail);
		};
		CrashSuspects suspects = new CrashSuspects(this.clock, observer);
		this.promptSuspects = new PromptSuspects(this.clock, observer);
		this.warmup = new WarmupLimits(this.servers, this.fleet, this.clock, settings.features().coldOverrun(),
				new WarmupLog(metrics, log));
		metrics.coldServers(this.warmup::coldServers);
		Placement placement = new Placement(
				this.servers, new PlacementSettings(settings.promptTokensPerMs(),
						settings.stepMicrosPerRequest() / MICROS_PER_MS, settings.features().waitsForSlots()),
				this.warmup, this.clock);
		RetryBudgets budgets = new RetryBudgets(settings.retryRatio(), settings.retryAllowance(), this.clock);
		int configured = settings.clientLimits().descriptors();
		this.descriptors = (configured > 0) ? configured : ClientBounds.descriptors();
		this.clients = ClientAccounts.create(settings, this.descriptors, this.clock, metrics, log);
		this.context = new DirectContext(this.loop, this.clock, format, this.servers, placement, this.fleet,
				this.warmup, new Admission(this.clock, settings.features().waitsForSlots()), budgets, suspects,
				this.promptSuspects, bodyBudget, this.clients, metrics, log);
		metrics.bodyBudget(bodyBudget);
		metrics.clients(this.clients);
		this.evacuations = settings.features().evacuationTimeoutMs().isPresent()
				? Optional.of(new EvacuatedDomains(this.clock, new EvacuationLog(log, metrics, this::evacuate)))
				: Optional.empty();
		this.evacuations.ifPresent((domains) -> this.context.awaitEvacuations());
		if (settings.features().hedgePercent() > 0) {
			this.context.hedge(settings.features().hedgePercent());
		}
		this.frontend = new DirectFrontend(this.context);
		DirectoryParts parts = new DirectoryParts(settings, this.loop, this.clock, log);
		this.directory = directories.create(parts).orElseThrow();
		this.peers = new PeerExchange(parts, this.clock.nanoTime(), this.directory, this.servers, this.loads,
				this.fleet, suspects, this.promptSuspects, this.context.placements(), this.warmup, this.evacuations,
				metrics);
	}

	/**
	 * Bind the addresses and start serving.
	 * @return why an address could not be bound, empty on success
	 */
	public Optional<String> start() {
		Optional<String> limits = this.clients.bounds().problem(this.descriptors);
		if (limits.isPresent()) {
			return limits;
		}
		// The directory makes its first calls while the addresses are bound.
		this.loop.execute(() -> this.directory.start(this));
		PageServer readiness = new PageServer(this.loop, Place.READINESS, this.clients, this.clock,
				Map.of(PageServer.ANY_PATH, (query) -> readinessPage()));
		PageServer pages = new PageServer(this.loop, Place.PEER, this.clients, this.clock,
				Map.of(PageServer.STATE_PATH, this::statePage, PageServer.PLACEMENTS_PATH,
						(query) -> new PageServer.Page(200, this.peers.startPage()), PageServer.METRICS_PATH,
						(query) -> PageServer.Page.text(200, MetricsText.write(this.registry)),
						PageServer.SUSPECT_PARTS_PATH, this::suspectPartsPage));
		List<ChannelFuture> bound = List.of(this.frontend.bind(this.settings.listen().toSocketAddress()),
				readiness.bind(this.settings.readiness().toSocketAddress()),
				pages.bind(this.settings.peer().toSocketAddress()), this.peers.bind());
		for (ChannelFuture future : bound) {
			future.awaitUninterruptibly();
			if (!future.isSuccess()) {
				return Optional.of("cannot bind: " + future.cause().getMessage());
			}
		}
		this.listenPort = port(bound.get(0));
		this.readinessPort = port(bound.get(1));
		schedule(TICK_INTERVAL_MS, this.context::tick);
		schedule(ExchangePolicy.PACE_MS, this::exchangeState);
		schedule(IDLE_CHECK_INTERVAL_MS, this.frontend::tick);
		schedule(IDLE_CHECK_INTERVAL_MS, () -> this.clients.tick(this.clock.nanoTime()));
		schedule(SAVE_INTERVAL_MS, this::savePlacements);
		this.log.line("event=started router=" + this.settings.id() + " listen=" + this.settings.listen());
		return Optional.empty();
	}

	/**
	 * Set what to do if the event loop ends while the router runs, as it does after an
	 * error in its own code. The router serves nothing from then on.
	 * @param action the action, which ends the process; called by another thread
	 */
	public void whenEventLoopEnds(Runnable action) {
		this.loop.terminationFuture().addListener((ended) -> action.run());
	}

	private static int port(ChannelFuture bound) {
		return ((InetSocketAddress) bound.channel().localAddress()).getPort();
	}

	/**
	 * Return the port for callers.
	 * @return the port in use after {@link #start}
	 */
	public int listenPort() {
		return this.listenPort;
	}

	/**
	 * Return the port at which the load balancer checks readiness.
	 * @return the port in use after {@link #start}
	 */
	public int readinessPort() {
		return this.readinessPort;
	}

	private void schedule(long ms, Runnable task) {
		this.loop.scheduleWithFixedDelay(guarded(task), ms, ms, TimeUnit.MILLISECONDS);
	}

	private Runnable guarded(Runnable task) {
		return new GuardedTask(task, (ex) -> this.log.line("event=periodic-task-failed reason=\"" + ex + "\""));
	}

	private void exchangeState() {
		this.evacuations.ifPresent(EvacuatedDomains::tick);
		this.peers.send();
		this.fleet.update(this.directory.answering());
		this.context.shareLimits();
		this.directory.routers(this.loads.live() + 1);
		this.directory.watchServers(this.peers.watchesServers());
	}

	private PageServer.Page statePage(QueryStringDecoder query) {
		DirectoryPosition known = new DirectoryPosition(PageServer.number(query, PageServer.KNOWN_ERA),
				PageServer.number(query, PageServer.KNOWN_REVISION));
		return new PageServer.Page(200,
				this.directory.export(PageServer.number(query, PageServer.KNOWN_CONFIG), known));
	}

	private PageServer.Page suspectPartsPage(QueryStringDecoder query) {
		List<String> lifted = query.parameters().getOrDefault(PageServer.LIFT, List.of());
		if (lifted.isEmpty()) {
			return new PageServer.Page(200,
					JsonTrees.write(PartCrashesJson.write(this.promptSuspects.mostCrashes(MAX_LISTED_PARTS))));
		}
		boolean found = this.promptSuspects.lift(lifted.get(0));
		this.log.line("event=crash-lifted part=" + lifted.get(0) + " found=" + found);
		return found ? PageServer.Page.text(200, "lifted\n")
				: PageServer.Page.text(404, "no crash of this part is known\n");
	}

	private PageServer.Page readinessPage() {
		return ready() ? PageServer.Page.text(200, "ready\n") : PageServer.Page.text(503, "not ready\n");
	}

	private boolean ready() {
		return !this.draining && this.context.serviceable();
	}

	@Override
	public void config(TrafficConfig config) {
		this.log.line("event=config-in-force version=" + config.version());
		this.context.config(this.context.config()
			.map((earlier) -> config.withServicesOf(earlier, this.servers::serves))
			.orElse(config));
	}

	@Override
	public void servers(List<ServerEntry> entries) {
		this.warmup.listed(entries);
		this.servers.replace(entries.stream().collect(Collectors.toMap(ServerEntry::id, Function.identity())))
			.forEach(this.context::serverEnded);
		this.context.serversKnown();
	}

	@Override
	public void evacuations(EvacuationSet domains, Set<String> removed, String by) {
		this.evacuations.ifPresent((own) -> own.apply(domains, removed, by));
	}

	private void evacuate(EvacuatedDomains.Change change) {
		this.servers.evacuated(change.inForce());
		change.ended().forEach(this.warmup::domainReturned);
		this.context.evacuated(change.begun());
	}

	@Override
	public void saved(byte[] state) {
		this.peers.restore(state, "store");
	}

	private void savePlacements() {
		if (this.context.serviceable() && this.peers.savesPlacements()) {
			this.directory.save(this.peers.startPage());
		}
	}

	@Override
	public void joined() {
		this.context.joined();
	}

	@Override
	public void routers(List<Endpoint> routers) {
		routers.forEach(this.peers::addPeer);
		this.fleet.listed(routers.stream().map(Endpoint::toString).toList());
		this.context.shareLimits();
	}

	/**
	 * Stop the router gracefully: it is not ready from now on, finishes the requests in
	 * progress, and closes idle connections when the load balancer has stopped sending
	 * requests. The action runs when all requests have ended or the drain timeout has
	 * passed since the call.
	 * @param whenDone the action, which ends the process
	 */
	public void drain(Runnable whenDone) {
		long signalledAt = this.clock.nanoTime();
		this.loop.execute(() -> {
			if (this.draining) {
				return;
			}
			this.draining = true;
			long drainSince = this.clock.nanoTime();
			// The load balancer sees the drain from now on; the platform counts from the
			// signal.
			DrainTimes times = new DrainTimes(signalledAt,
					signalledAt + TimeUnit.MILLISECONDS.toNanos(STOP_ACCEPTING_AFTER_MS),
					drainSince + TimeUnit.MILLISECONDS.toNanos(STOP_ACCEPTING_AFTER_MS),
					signalledAt + TimeUnit.MILLISECONDS.toNanos(this.settings.drainTimeoutMs() - STOP_MARGIN_MS));
			this.log.line("event=drain-started inFlight=" + this.context.inFlight() + " connections="
					+ this.frontend.connections() + " lateMs=" + times.elapsedMs(drainSince) + " stopInMs="
					+ times.leftMs(drainSince));
			this.context.drain(times);
			schedule(TICK_INTERVAL_MS, () -> checkDrained(times, whenDone));
		});
	}

	private void checkDrained(DrainTimes times, Runnable whenDone) {
		if (this.stopped) {
			exit(times, whenDone);
			return;
		}
		long readUntil = this.context.readUntil();
		if (this.lastRead || times.leftMs(readUntil) <= 0) {
			end(times, whenDone);
		}
		else if (times.leftMs(this.clock.nanoTime()) <= 0) {
			// Waits for one pass of reading, not for the end of a series of pauses.
			this.lastRead = true;
			this.loop.schedule(guarded(() -> checkDrained(times, whenDone)), READ_PASS_MS, TimeUnit.MILLISECONDS);
		}
		// Requests that arrived in a pause are read before connections are closed.
		else if (times.balancerLeftMs(readUntil) <= 0) {
			this.frontend.stopAccepting();
			if (this.context.inFlight() == 0 && this.frontend.connections() == 0) {
				stopped(times, 0, whenDone);
			}
		}
	}

	private void end(DrainTimes times, Runnable whenDone) {
		this.frontend.stopAccepting();
		int inFlight = this.context.inFlight();
		this.context.stopAll();
		this.frontend.logUnserved();
		stopped(times, inFlight, whenDone);
	}

	private void stopped(DrainTimes times, int cut, Runnable whenDone) {
		this.stopped = true;
		this.log.line("event=stopped ms=" + times.elapsedMs(this.clock.nanoTime()) + " cut=" + cut + " connections="
				+ this.frontend.connections());
		this.log.flushSoon();
		this.directory.leave();
		this.peers.leave();
	}

	// Callers that read late get the rest of their responses until shortly before the
	// kill.
	private void exit(DrainTimes times, Runnable whenDone) {
		long lateMs = -times.leftMs(this.clock.nanoTime());
		if (this.frontend.connections() == 0 || lateMs >= LAST_WRITES_MS) {
			whenDone.run();
		}
	}

}

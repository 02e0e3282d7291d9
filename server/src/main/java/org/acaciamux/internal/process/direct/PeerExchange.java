package org.acaciamux.internal.process.direct;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.ChangeBudget;
import org.acaciamux.internal.coordination.direct.CrashSuspects;
import org.acaciamux.internal.coordination.direct.ExchangePolicy;
import org.acaciamux.internal.coordination.direct.FleetLoads;
import org.acaciamux.internal.coordination.direct.FleetSize;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.direct.PromptSuspects;
import org.acaciamux.internal.coordination.direct.RecentPlacements;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServerTable;
import org.acaciamux.internal.coordination.direct.StateFetchPolicy;
import org.acaciamux.internal.coordination.direct.WatchPolicy;
import org.acaciamux.internal.coordination.evacuation.EvacuatedDomains;
import org.acaciamux.internal.coordination.warmup.WarmupLimits;
import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.transport.http.PlatformHttpClient;
import org.acaciamux.internal.transport.http.direct.DirectMetrics;
import org.acaciamux.settings.Endpoint;

/**
 * Exchanges state by datagrams with the other routers, or with a random sample of a large
 * fleet: requests in flight, crash suspects, placements and the freshness of the
 * directory state. Fetches the directory state from a router that has had newer state for
 * a while. Invariant: a router that was silent for {@link #FORGET_PEER_NANOS} gets no
 * more messages. Confined to the event loop.
 */
final class PeerExchange {

	/**
	 * Time after which a silent router is removed from the list of receivers, in
	 * nanoseconds: longer than a restart takes.
	 */
	private static final long FORGET_PEER_NANOS = 30_000_000_000L;

	/** Largest number of prompt parts of one backend server in a page of placements. */
	private static final int MAX_PARTS_PER_SERVER = 256;

	/**
	 * Largest number of prompt parts in a page of placements, about 25 bytes each: a
	 * saved page fits an object of the directory, and a router on a slow link reads it
	 * within a few seconds.
	 */
	private static final int MAX_PARTS_PER_PAGE = 8_192;

	/** Largest number of suspects in a page, about 150 bytes each. */
	private static final int MAX_SUSPECTS_PER_PAGE = 64;

	/**
	 * Age up to which a page of placements is reused, in nanoseconds: writing it anew for
	 * each of many routers that restart at once would use all processor time.
	 */
	private static final long MAX_PAGE_AGE_NANOS = 1_000_000_000L;

	/** Number of routers that save placements. */
	private static final int SAVING_ROUTERS = 2;

	private final Map<String, Peer> peers = new HashMap<>();

	private final StateFetchPolicy stateFetches = new StateFetchPolicy();

	private final SplittableRandom random = new SplittableRandom();

	private final EventLoop loop;

	private final NanoClock clock;

	private final String router;

	private final Endpoint self;

	private final String domain;

	private final long incarnation;

	private final Directory directory;

	private final ServerTable servers;

	private final FleetLoads loads;

	private final FleetSize fleet;

	private final CrashSuspects suspects;

	private final PromptSuspects promptSuspects;

	private final RecentPlacements placements;

	private final WarmupLimits warmup;

	/** Empty if evacuations are not enabled. */
	private final Optional<EvacuatedDomains> evacuations;

	private final PeerSocket socket;

	private final DecisionLog log;

	private long sequence;

	private boolean leaving;

	private boolean watches = true;

	private boolean placementsRequested;

	private byte[] page;

	private long pageAt;

	PeerExchange(DirectoryParts parts, long incarnation, Directory directory, ServerTable servers, FleetLoads loads,
			FleetSize fleet, CrashSuspects suspects, PromptSuspects promptSuspects, RecentPlacements placements,
			WarmupLimits warmup, Optional<EvacuatedDomains> evacuations, DirectMetrics metrics) {
		this.loop = parts.loop();
		this.clock = parts.clock();
		this.router = parts.settings().id();
		this.self = parts.settings().peer();
		this.domain = parts.settings().failureDomain();
		this.log = parts.log();
		this.incarnation = incarnation;
		this.directory = directory;
		this.servers = servers;
		this.loads = loads;
		this.fleet = fleet;
		this.suspects = suspects;
		this.promptSuspects = promptSuspects;
		this.placements = placements;
		this.evacuations = evacuations;
		this.warmup = warmup;
		this.socket = new PeerSocket(parts, metrics);
	}

	ChannelFuture bind() {
		return this.socket.bind(this.self, this::received);
	}

	void addPeer(Endpoint peer) {
		if (!peer.equals(this.self)) {
			this.peers.computeIfAbsent(peer.toString(), (key) -> {
				this.log.line("event=router-found peer=" + key);
				return new Peer(peer.toSocketAddress(), this.clock.nanoTime());
			});
		}
	}

	/**
	 * Send this router's state to the others.
	 */
	void send() {
		long now = this.clock.nanoTime();
		this.peers.values().removeIf((peer) -> now - peer.lastReceivedAt > FORGET_PEER_NANOS);
		Map<String, Integer> inFlight = new HashMap<>();
		for (ServerState server : this.servers.all()) {
			if (server.inFlight() > 0) {
				inFlight.put(server.entry().id(), server.inFlight());
			}
		}
		PeerMessage message = new PeerMessage(this.router, this.self.toString(), this.domain,
				this.directory.answering(), true, this.incarnation, ++this.sequence, this.leaving,
				this.directory.freshness(), inFlight, this.suspects.report(), this.servers.announcedDepartures(),
				this.placements.drain(), this.promptSuspects.report(), this.warmup.announced())
			.withEvacuations(this.evacuations.flatMap(EvacuatedDomains::told).filter(EvacuationsJson::fits));
		this.socket.send(message,
				ExchangePolicy.receivers(this.peers.values(), this.random)
					.stream()
					.map((peer) -> new PeerSocket.Receiver(peer.address, peer.unpacks))
					.toList());
		this.loads.routers(this.peers.size());
		this.servers.peersInFlight(this.loads.inFlight());
	}

	void leave() {
		this.leaving = true;
		send();
	}

	private void received(PeerMessage message) {
		Endpoint.parse(message.peer()).ifPresent((peer) -> {
			if (wasSilent(peer)) {
				this.suspects.reportAllSoon();
				this.promptSuspects.reportAllSoon();
			}
			addPeer(peer);
			this.fleet.heard(peer.toString(), message.leaving());
			Peer sender = this.peers.get(peer.toString());
			if (sender != null) {
				sender.lastReceivedAt = this.clock.nanoTime();
				sender.domain = message.domain();
				sender.unpacks = message.unpacks();
				// A router that has not heard of the directory's return lists no changes
				// since.
				boolean outdated = message.freshness().known().era() < this.directory.freshness().known().era();
				sender.answered = message.answered() && !message.leaving() && !outdated;
				this.directory.era(message.freshness().known().era());
				fetchIfNewer(peer, sender, message.freshness());
				fetchPlacements(peer);
			}
		});
		this.loads.report(message.router(), message.incarnation(), message.sequence(),
				message.leaving() ? Map.of() : message.inFlight());
		this.servers.peersInFlight(this.loads.inFlight());
		message.crashes().forEach((fingerprint, crashes) -> this.suspects.merge(fingerprint, crashes));
		message.partCrashes().forEach((part, crashes) -> this.promptSuspects.merge(part, crashes));
		message.leavingServers().forEach((lifetime) -> leaving(lifetime, message.router()));
		this.warmup.told(message.cold());
		addPlacements(message.placements());
		this.evacuations.ifPresent((own) -> message.evacuations()
			.ifPresent((told) -> own.apply(told, Set.of(), "router:" + message.router())));
	}

	// Whether all messages that reported a new crash may have been lost.
	private boolean wasSilent(Endpoint peer) {
		long reportNanos = TimeUnit.MILLISECONDS.toNanos(CrashSuspects.URGENT_REPORTS * ExchangePolicy.PACE_MS);
		long silentNanos = (this.peers.size() <= ExchangePolicy.FANOUT) ? reportNanos : livenessNanos();
		Peer known = this.peers.get(peer.toString());
		return known == null || this.clock.nanoTime() - known.lastReceivedAt > silentNanos;
	}

	private long livenessNanos() {
		return TimeUnit.MILLISECONDS.toNanos(ExchangePolicy.livenessTimeoutMs(this.peers.size()));
	}

	private void leaving(String lifetime, String router) {
		if (this.servers.leaving(lifetime)) {
			this.log.line("event=server-leaving server=" + lifetime + " told-by=" + router);
		}
	}

	private void addPlacements(Map<String, List<List<PromptPart>>> cached) {
		cached
			.forEach((id, prompts) -> this.servers.find(id).ifPresent((server) -> prompts.forEach(server::addPrompt)));
	}

	/**
	 * Write the prompt parts that backend servers have cached and the requests that
	 * crashed most servers, for a router that has just started.
	 * @return the page
	 */
	byte[] startPage() {
		long now = this.clock.nanoTime();
		if (this.page == null || now - this.pageAt > MAX_PAGE_AGE_NANOS) {
			int limit = Math.min(MAX_PARTS_PER_SERVER, MAX_PARTS_PER_PAGE / Math.max(1, this.servers.all().size()));
			Map<String, List<List<PromptPart>>> cached = new HashMap<>();
			this.servers.all()
				.forEach((server) -> cached.put(server.entry().lifetime(), List.of(server.cachedParts(limit))));
			this.page = new StartPage(cached, this.suspects.mostCrashes(MAX_SUSPECTS_PER_PAGE),
					this.promptSuspects.mostCrashes(MAX_SUSPECTS_PER_PAGE))
				.encode();
			this.pageAt = now;
		}
		return this.page;
	}

	private void fetchPlacements(Endpoint peer) {
		if (this.placementsRequested || this.servers.all().isEmpty()) {
			return;
		}
		this.placementsRequested = true;
		fetch(peer, PageServer.PLACEMENTS_PATH, (reply) -> reply.ifPresent((body) -> restore(body, peer.toString())));
	}

	/**
	 * Restore what a router has saved or told at the start.
	 * @param page what {@link #startPage} of that router returned
	 * @param source where the page comes from, for the log
	 */
	void restore(byte[] page, String source) {
		try {
			StartPage restored = StartPage.decode(page);
			addPlacementsByLifetime(restored.placements());
			restored.crashes().forEach(this.suspects::merge);
			restored.partCrashes().forEach(this.promptSuspects::merge);
		}
		catch (IOException ex) {
			this.log.line("event=placements-invalid from=" + source + " reason=\"" + ex.getMessage() + "\"");
		}
	}

	/**
	 * Return whether this router saves placements for the fleet. The two live routers
	 * with the lowest addresses save them, so that one of the two may fail.
	 * @return whether it saves
	 */
	boolean savesPlacements() {
		long now = this.clock.nanoTime();
		long liveNanos = livenessNanos();
		String own = this.self.toString();
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue().lastReceivedAt < liveNanos && entry.getKey().compareTo(own) < 0)
			.count() < SAVING_ROUTERS;
	}

	/**
	 * Return whether this router watches the directory for changes of backend servers.
	 * @return whether it watches
	 */
	boolean watchesServers() {
		long now = this.clock.nanoTime();
		long liveNanos = livenessNanos();
		List<WatchPolicy.Router> live = this.peers.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue().lastReceivedAt < liveNanos)
			.map((entry) -> new WatchPolicy.Router(entry.getKey(), entry.getValue().domain, entry.getValue().answered))
			.toList();
		this.watches = WatchPolicy
			.watches(new WatchPolicy.Router(this.self.toString(), this.domain, this.directory.answering()), live);
		return this.watches;
	}

	private void addPlacementsByLifetime(Map<String, List<List<PromptPart>>> cached) {
		cached.forEach((lifetime, prompts) -> this.servers.findLifetime(lifetime)
			.ifPresent((server) -> prompts.forEach(server::addPrompt)));
	}

	private void fetch(Endpoint peer, String uri, Consumer<Optional<byte[]>> action) {
		PlatformHttpClient client = new PlatformHttpClient(this.loop, peer.toSocketAddress(),
				(int) ChangeBudget.FETCH_TIMEOUT_MS, 1);
		client.call(HttpMethod.GET, uri, new byte[0], ChangeBudget.FETCH_TIMEOUT_MS)
			.whenComplete((reply, ex) -> this.loop.execute(() -> {
				client.close();
				if (reply instanceof PlatformHttpClient.Reply.Response response && response.status() == 200) {
					action.accept(Optional.of(response.body()));
					return;
				}
				this.log.line("event=fetch-failed from=" + peer + " uri=" + uri + " reason=\"" + reply + "\"");
				action.accept(Optional.empty());
			}));
	}

	private void fetchIfNewer(Endpoint peer, Peer sender, Directory.Freshness peerFreshness) {
		Directory.Freshness ownFreshness = this.directory.freshness();
		if (!this.stateFetches.shouldFetch(peer.toString(), peerFreshness.hasMoreThan(ownFreshness),
				source(sender, ownFreshness), this.clock.nanoTime())) {
			return;
		}
		this.log.line("event=state-fetch from=" + peer + " config=" + peerFreshness.config() + " changed="
				+ peerFreshness.changed() + " ownConfig=" + ownFreshness.config() + " ownRevision="
				+ ownFreshness.known() + " ownAgeMs=" + ownFreshness.ageMs());
		String query = "?" + PageServer.KNOWN_CONFIG + "=" + ownFreshness.config() + "&" + PageServer.KNOWN_ERA + "="
				+ ownFreshness.known().era() + "&" + PageServer.KNOWN_REVISION + "=" + ownFreshness.known().revision();
		fetch(peer, PageServer.STATE_PATH + query, (state) -> {
			this.stateFetches.fetchEnded(state.isPresent(), this.clock.nanoTime());
			state.ifPresent(this.directory::merge);
		});
	}

	private StateFetchPolicy.Source source(Peer sender, Directory.Freshness ownFreshness) {
		if (ownFreshness.config() == 0) {
			return this.directory.answering() ? StateFetchPolicy.Source.START
					: StateFetchPolicy.Source.START_WITHOUT_DIRECTORY;
		}
		boolean neighbour = sender.domain.equals(this.domain);
		return (neighbour && !this.watches) ? StateFetchPolicy.Source.NEIGHBOUR : StateFetchPolicy.Source.ELSEWHERE;
	}

	private static final class Peer {

		private final InetSocketAddress address;

		private long lastReceivedAt;

		private String domain = "";

		private boolean answered;

		private boolean unpacks;

		Peer(InetSocketAddress address, long now) {
			this.address = address;
			this.lastReceivedAt = now;
		}

	}

}

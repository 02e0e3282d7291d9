package org.acaciamux.internal.process.direct;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http.HttpMethod;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.CatchUp;
import org.acaciamux.internal.coordination.direct.CrashSuspects;
import org.acaciamux.internal.coordination.direct.ExchangePolicy;
import org.acaciamux.internal.coordination.direct.FleetLoads;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.direct.RecentPlacements;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServerTable;
import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.protocol.JsonTrees;
import org.acaciamux.internal.transport.http.PlatformHttpClient;
import org.acaciamux.settings.Endpoint;

/**
 * Exchanges state by datagrams with the other routers, or with a random part of a large
 * fleet: requests in flight, crash suspects and how new the directory's knowledge is.
 * Fetches the directory's state from a router that has known more for a while. Invariant:
 * a router that was not heard for {@link #FORGET_NANOS} gets no more messages. Confined
 * to the event loop.
 */
final class PeerExchange {

	/** How long a silent router is remembered, in nanoseconds: longer than a restart. */
	private static final long FORGET_NANOS = 30_000_000_000L;

	/**
	 * Longest silence of another router while its state is fetched, in milliseconds:
	 * twice the time that a router with a quarter of a core takes to write it.
	 */
	private static final long FETCH_TIMEOUT_MS = 800;

	/** Prompt parts told of each backend server to a router that has just started. */
	private static final int PARTS_TOLD = 256;

	/**
	 * Prompt parts told in all, about 25 bytes each: a saved page fits an object of the
	 * directory, and few seconds pass until a router on a slow link has read it.
	 */
	private static final int ALL_PARTS_TOLD = 8_192;

	/**
	 * Age up to which a page of placements is sent again, in nanoseconds: writing it for
	 * each of many routers that restart at once would take all processor time.
	 */
	private static final long PAGE_AGE = 1_000_000_000L;

	/** Routers that save placements. */
	private static final int SAVERS = 2;

	private final Map<String, Peer> peers = new HashMap<>();

	private final CatchUp catchUp = new CatchUp();

	private final SplittableRandom random = new SplittableRandom();

	private final EventLoop loop;

	private final NanoClock clock;

	private final String router;

	private final Endpoint self;

	private final long incarnation;

	private final Directory directory;

	private final ServerTable servers;

	private final FleetLoads loads;

	private final CrashSuspects suspects;

	private final RecentPlacements placements;

	private final DecisionLog log;

	private Channel channel;

	private long sequence;

	private boolean leaving;

	private boolean placementsAsked;

	private byte[] page;

	private long pageAt;

	PeerExchange(DirectoryParts parts, long incarnation, Directory directory, ServerTable servers, FleetLoads loads,
			CrashSuspects suspects, RecentPlacements placements) {
		this.loop = parts.loop();
		this.clock = parts.clock();
		this.router = parts.settings().id();
		this.self = parts.settings().peer();
		this.log = parts.log();
		this.incarnation = incarnation;
		this.directory = directory;
		this.servers = servers;
		this.loads = loads;
		this.suspects = suspects;
		this.placements = placements;
	}

	ChannelFuture bind() {
		ChannelFuture bound = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {
				@Override
				protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
					PeerMessage.decode(ByteBufUtil.getBytes(packet.content())).ifPresent(PeerExchange.this::received);
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
					PeerExchange.this.log.line("event=peer-socket-error reason=\"" + cause + "\"");
				}
			})
			.bind(this.self.toSocketAddress());
		this.channel = bound.channel();
		return bound;
	}

	void know(Endpoint peer) {
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
		this.peers.values().removeIf((peer) -> now - peer.heardAt > FORGET_NANOS);
		Map<String, Integer> inFlight = new HashMap<>();
		for (ServerState server : this.servers.all()) {
			if (server.inFlight() > 0) {
				inFlight.put(server.entry().id(), server.inFlight());
			}
		}
		byte[] bytes = new PeerMessage(this.router, this.self.toString(), this.incarnation, ++this.sequence,
				this.leaving, this.directory.freshness(), inFlight, this.suspects.crashes(), this.placements.take())
			.encode();
		for (Peer peer : ExchangePolicy.receivers(this.peers.values(), this.random)) {
			this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer.address));
		}
		this.channel.flush();
		this.loads.routers(this.peers.size());
		this.servers.peersInFlight(this.loads.inFlight());
	}

	void leave() {
		this.leaving = true;
		send();
	}

	private void received(PeerMessage message) {
		Endpoint.parse(message.peer()).ifPresent((peer) -> {
			know(peer);
			Peer known = this.peers.get(peer.toString());
			if (known != null) {
				known.heardAt = this.clock.nanoTime();
				compare(peer, message.freshness());
				askPlacements(peer);
			}
		});
		this.loads.report(message.router(), message.incarnation(), message.sequence(),
				message.leaving() ? Map.of() : message.inFlight());
		this.servers.peersInFlight(this.loads.inFlight());
		message.crashes().forEach((fingerprint, crashes) -> this.suspects.learn(fingerprint, crashes));
		learn(message.placements());
	}

	private void learn(Map<String, List<List<PromptPart>>> kept) {
		kept.forEach((id, prompts) -> this.servers.find(id).ifPresent((server) -> prompts.forEach(server::keeps)));
	}

	/**
	 * Write the prompt parts that backend servers keep, for a router that has just
	 * started.
	 * @return the page
	 */
	byte[] placementsPage() {
		long now = this.clock.nanoTime();
		if (this.page == null || now - this.pageAt > PAGE_AGE) {
			int limit = Math.min(PARTS_TOLD, ALL_PARTS_TOLD / Math.max(1, this.servers.all().size()));
			Map<String, List<List<PromptPart>>> kept = new HashMap<>();
			this.servers.all().forEach((server) -> kept.put(server.entry().lifetime(), List.of(server.kept(limit))));
			this.page = JsonTrees.write(PlacementsJson.write(kept));
			this.pageAt = now;
		}
		return this.page;
	}

	private void askPlacements(Endpoint peer) {
		if (this.placementsAsked || this.servers.all().isEmpty()) {
			return;
		}
		this.placementsAsked = true;
		get(peer, PeerServer.PLACEMENTS_PATH, (reply) -> reply.ifPresent((body) -> {
			try {
				learnLifetimes(PlacementsJson.read(JsonTrees.read(body)));
			}
			catch (IOException ex) {
				this.log.line("event=placements-invalid from=" + peer + " reason=\"" + ex.getMessage() + "\"");
			}
		}));
	}

	/**
	 * Take up placements that a router has saved.
	 * @param page what {@link #placementsPage} returned there
	 */
	void saved(byte[] page) {
		try {
			learnLifetimes(PlacementsJson.read(JsonTrees.read(page)));
		}
		catch (IOException ex) {
			this.log.line("event=placements-invalid from=store reason=\"" + ex.getMessage() + "\"");
		}
	}

	/**
	 * Return whether this router saves placements for the fleet: the two live ones with
	 * the lowest addresses do, so that one may fail.
	 * @return whether it saves
	 */
	boolean saves() {
		long now = this.clock.nanoTime();
		long liveNanos = TimeUnit.MILLISECONDS.toNanos(ExchangePolicy.liveMs(this.peers.size()));
		String own = this.self.toString();
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue().heardAt < liveNanos && entry.getKey().compareTo(own) < 0)
			.count() < SAVERS;
	}

	private void learnLifetimes(Map<String, List<List<PromptPart>>> kept) {
		kept.forEach((lifetime, prompts) -> this.servers.findLifetime(lifetime)
			.ifPresent((server) -> prompts.forEach(server::keeps)));
	}

	private void get(Endpoint peer, String uri, Consumer<Optional<byte[]>> action) {
		PlatformHttpClient client = new PlatformHttpClient(this.loop, peer.toSocketAddress(), (int) FETCH_TIMEOUT_MS,
				1);
		client.call(HttpMethod.GET, uri, new byte[0], FETCH_TIMEOUT_MS)
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

	private void compare(Endpoint peer, Directory.Freshness theirs) {
		Directory.Freshness mine = this.directory.freshness();
		boolean newer = theirs.config() > mine.config() || theirs.changed() > mine.revision();
		if (!this.catchUp.fetch(peer.toString(), newer, mine.config() != 0, this.directory.answering(),
				this.clock.nanoTime())) {
			return;
		}
		this.log.line("event=state-fetch from=" + peer + " config=" + theirs.config() + " changed=" + theirs.changed()
				+ " ownConfig=" + mine.config() + " ownRevision=" + mine.revision() + " ownAgeMs=" + mine.ageMs());
		get(peer, PeerServer.STATE_PATH + "?" + PeerServer.KNOWN_CONFIG + "=" + mine.config(), (state) -> {
			this.catchUp.ended(state.isPresent(), this.clock.nanoTime());
			state.ifPresent(this.directory::merge);
		});
	}

	private static final class Peer {

		private final InetSocketAddress address;

		private long heardAt;

		Peer(InetSocketAddress address, long now) {
			this.address = address;
			this.heardAt = now;
		}

	}

}

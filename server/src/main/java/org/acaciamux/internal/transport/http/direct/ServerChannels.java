package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.vavr.control.Either;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServerTable;
import org.acaciamux.internal.event.DecisionLog;

/**
 * Pools of connections to backend servers, which are reused because new ones are costly
 * and limited. Invariant: a connection is either idle in its pool or in use by one
 * request. Confined to the event loop.
 */
final class ServerChannels {

	/**
	 * Longest time to open a connection, in milliseconds: much longer than a round trip
	 * between failure domains, much shorter than the callers' time limits.
	 */
	private static final int CONNECT_TIMEOUT_MS = 600;

	/** Reads from one connection before the event loop serves the others. */
	private static final int READS_PER_TURN = 1;

	private final EventLoop loop;

	private final ServerTable servers;

	private final WireFormat format;

	private final NanoClock clock;

	private final IntUnaryOperator connectionShare;

	private final DirectMetrics metrics;

	private final DecisionLog log;

	private final Map<String, Pool> pools = new HashMap<>();

	private final LineLimit unrequestedLines;

	private int opened;

	private boolean resetsUndelivered;

	ServerChannels(EventLoop loop, ServerTable servers, WireFormat format, NanoClock clock,
			IntUnaryOperator connectionShare, DirectMetrics metrics, DecisionLog log) {
		this.loop = loop;
		this.servers = servers;
		this.format = format;
		this.clock = clock;
		this.connectionShare = connectionShare;
		this.metrics = metrics;
		this.log = log;
		this.unrequestedLines = new LineLimit("unrequested-response", log);
	}

	/**
	 * Get a connection for a new request, opening one if none is idle.
	 * @param server the server
	 * @param attemptId the attempt id of the request
	 * @param maxConnections connections that the server accepts from all routers
	 * @param action receives the connection, or the reason why there is none
	 */
	void acquire(ServerState server, String attemptId, int maxConnections,
			Consumer<Either<Unavailable, ServerChannel>> action) {
		Pool pool = this.pools.computeIfAbsent(server.entry().id(), (key) -> new Pool());
		ServerChannel idle = pool.poll(attemptId, now());
		if (idle != null) {
			action.accept(Either.right(idle));
			return;
		}
		open(server, pool, maxConnections, (result) -> {
			if (result.isLeft() || this.servers.isUsable(server)) {
				action.accept(result);
				return;
			}
			release(result.get());
			action.accept(Either.left(new Unavailable(false, "the server left while a connection to it was opened")));
		});
	}

	/**
	 * Open a connection even if one is idle.
	 * @param server the server
	 * @param maxConnections connections that the server accepts from all routers
	 * @param action receives the connection, or the reason why there is none
	 */
	void open(ServerState server, int maxConnections, Consumer<Either<Unavailable, ServerChannel>> action) {
		open(server, this.pools.computeIfAbsent(server.entry().id(), (key) -> new Pool()), maxConnections, action);
	}

	private void open(ServerState server, Pool pool, int maxConnections,
			Consumer<Either<Unavailable, ServerChannel>> action) {
		pool.maxConnections = maxConnections;
		if (pool.open >= share(pool)) {
			action.accept(
					Either.left(new Unavailable(false, "this router's share of the server's connections is in use")));
			return;
		}
		pool.open++;
		ServerChannel handler = new ServerChannel(this, ++this.opened, server.entry(), this.format);
		this.metrics.connection();
		connect(server, handler).addListener((ChannelFuture connected) -> {
			if (!connected.isSuccess()) {
				pool.open--;
				action.accept(Either.left(notConnected(server, connected.cause())));
				return;
			}
			server.acceptedConnection();
			action.accept(Either.right(handler));
		});
	}

	// A server that does not accept in time may be sound: its network or this router's
	// event loop may be late.
	private Unavailable notConnected(ServerState server, Throwable cause) {
		boolean refused = !(cause instanceof ConnectTimeoutException);
		if (refused) {
			server.refusedConnection(now());
		}
		else {
			server.failedToReach(now());
		}
		return new Unavailable(refused, "cannot connect: " + cause.getMessage());
	}

	private ChannelFuture connect(ServerState server, ServerChannel handler) {
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_PER_TURN))
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpRequestEncoder(), new ServerResponseDecoder(handler::answersHead), handler);
				}
			})
			.connect(server.entry().address().toSocketAddress());
	}

	void release(ServerChannel channel) {
		Pool pool = this.pools.get(channel.serverId());
		if (pool == null) {
			channel.close();
			return;
		}
		channel.idle(now());
		pool.idle.addFirst(channel);
	}

	/**
	 * Reset the connection of a request that is given up before anything was received on
	 * it. After an ordinary close, the kernel would go on to send the request to a server
	 * that is silent, and it could arrive after an evacuation.
	 */
	void resetUndelivered() {
		this.resetsUndelivered = true;
	}

	boolean resetsUndelivered() {
		return this.resetsUndelivered;
	}

	private int share(Pool pool) {
		return this.connectionShare.applyAsInt(pool.maxConnections);
	}

	void closed(ServerChannel channel) {
		Pool pool = this.pools.get(channel.serverId());
		if (pool != null) {
			pool.open--;
			pool.idle.remove(channel);
		}
	}

	/**
	 * Close idle connections that are too old, those to servers that are no longer
	 * listed, and those beyond this router's share, which other routers may need.
	 */
	void tick() {
		long now = now();
		this.unrequestedLines.tick(now);
		Set<String> removable = new HashSet<>();
		this.pools.forEach((id, pool) -> {
			boolean known = this.servers.find(id).isPresent();
			pool.idle.stream()
				.filter((channel) -> !known || !channel.usable(now))
				.toList()
				.forEach(ServerChannel::close);
			for (int excess = pool.open - share(pool); excess > 0 && !pool.idle.isEmpty(); excess--) {
				pool.idle.removeLast().close();
			}
			if (!known && pool.open <= 0) {
				removable.add(id);
			}
		});
		this.pools.keySet().removeAll(removable);
	}

	void received(String serverId) {
		this.servers.received(serverId, now());
	}

	/**
	 * Return the lifetime of a server that the directory lists.
	 * @param serverId the server's id
	 * @return the lifetime, empty if the server is not listed
	 */
	Optional<String> lifetime(String serverId) {
		return this.servers.find(serverId).map((server) -> server.entry().lifetime());
	}

	/**
	 * Record that a response announced that its server leaves.
	 * @param lifetime the server's lifetime
	 */
	void leaving(String lifetime) {
		if (this.servers.leaving(lifetime)) {
			this.log.line("event=server-leaving server=" + lifetime + " told-by=response");
		}
	}

	void foreignResponse() {
		this.metrics.foreignResponse();
	}

	void unattributedResponse() {
		this.metrics.unattributedResponse();
	}

	void skippedResponse() {
		this.metrics.skippedResponse();
	}

	/**
	 * Record that bytes arrived on a connection that serves no request.
	 * @param channel the connection
	 * @param abandoned whether its last request was given up, which closed it
	 * @param detail further fields of the line, preceded by a space
	 */
	void unrequested(ServerChannel channel, boolean abandoned, String detail) {
		if (!abandoned) {
			this.metrics.unrequestedResponse();
		}
		if (this.unrequestedLines.tryLine(now())) {
			this.log.line("event=" + (abandoned ? "response-after-end" : "unrequested-response") + " server="
					+ channel.serverId() + " conn=" + channel.describe() + detail);
		}
	}

	/**
	 * Record that a response began on a connection whose request was given up.
	 */
	void responseAfterEnd() {
		this.metrics.responseAfterEnd();
	}

	long now() {
		return this.clock.nanoTime();
	}

	/**
	 * Why there is no connection.
	 *
	 * @param refused whether the server refused one, which shows that it is down
	 * @param reason the cause, for the log
	 */
	record Unavailable(boolean refused, String reason) {
	}

	private static final class Pool {

		private final Deque<ServerChannel> idle = new ArrayDeque<>();

		private int open;

		/** Connections that the server accepts from all routers. */
		private int maxConnections;

		ServerChannel poll(String attemptId, long now) {
			ServerChannel channel = this.idle.pollFirst();
			while (channel != null && (!channel.usable(now) || channel.carried(attemptId))) {
				channel.close();
				channel = this.idle.pollFirst();
			}
			return channel;
		}

	}

}

package org.acaciamux.internal.transport.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.routing.RequestService;

/**
 * HTTP/1.1 server for callers. Invariant: after {@link #drain} no connection is accepted
 * and each open one closes after the response in flight. Thread-safe.
 */
public final class HttpFrontend implements AutoCloseable {

	private static final int ACCEPT_BACKLOG = 1024;

	/** Time until the socket of a closed listener is closed, in milliseconds. */
	private static final int SOCKET_CLOSE_DELAY_MS = 1;

	private final EventLoopGroup loops;

	private final HttpLimits limits;

	private final RequestService service;

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private final BodyBudget bodyBudget;

	private volatile Channel listener;

	private volatile boolean draining;

	/**
	 * Create a frontend that is not bound yet.
	 * @param loops the event loops to run on; not closed by this frontend
	 * @param limits the limits on what callers may send
	 * @param service handles the requests
	 */
	public HttpFrontend(EventLoopGroup loops, HttpLimits limits, RequestService service) {
		this.loops = loops;
		this.limits = limits;
		this.bodyBudget = new BodyBudget(limits.maxBufferedBytes());
		this.service = service;
	}

	/**
	 * Accept connections.
	 * @param address the address to listen at; port 0 selects a free port
	 * @return the address in use, or why it could not be bound
	 */
	public Either<IOException, InetSocketAddress> bind(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}

			});
		ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			Throwable cause = bound.cause();
			return Either.left((cause instanceof IOException io) ? io : new IOException(cause));
		}
		this.listener = bound.channel();
		return Either.right((InetSocketAddress) bound.channel().localAddress());
	}

	/**
	 * Stop accepting connections and finish the responses in flight. Idle connections
	 * close once no new connection is accepted, so that their callers do not return to
	 * this router; a caller that is still sending a request gets an answer.
	 * @return completes when the last connection is closed
	 */
	public CompletionStage<Void> drain() {
		CompletableFuture<Void> drained = new CompletableFuture<>();
		Channel open = this.listener;
		if (open == null) {
			drainConnections(drained);
			return drained;
		}
		// The JDK closes the socket when the event loop selects next, which precedes
		// scheduled tasks. Until then the system still accepts connections.
		open.close()
			.addListener((closed) -> open.eventLoop()
				.schedule(() -> drainConnections(drained), SOCKET_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS));
		return drained;
	}

	private void drainConnections(CompletableFuture<Void> drained) {
		this.draining = true;
		this.connections.forEach((channel) -> channel.pipeline().fireUserEventTriggered(CallerConnection.Drain.NOW));
		this.connections.newCloseFuture().addListener((future) -> drained.complete(null));
	}

	/**
	 * Refuse requests of which only a part has arrived, because the process ends soon.
	 */
	public void refuseIncomplete() {
		this.connections.forEach((channel) -> channel.pipeline().fireUserEventTriggered(CallerConnection.Drain.LAST));
	}

	/**
	 * Return the number of open connections, which is reported during a drain.
	 * @return the number, at least 0
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Stop accepting connections and close all open ones.
	 */
	@Override
	public void close() {
		this.draining = true;
		if (this.listener != null) {
			this.listener.close();
		}
		this.connections.close();
	}

	private void accept(SocketChannel channel) {
		if (this.connections.size() >= this.limits.maxConnections()) {
			channel.pipeline().addLast(new HttpServerCodec(), new TooManyConnectionsHandler());
			return;
		}
		this.connections.add(channel);
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(this.limits.maxRequestLineBytes())
			.setMaxHeaderSize(this.limits.maxHeaderBytes());
		CallerConnection connection = new CallerConnection(this.limits, this.bodyBudget, this.service,
				() -> this.draining);
		channel.pipeline().addLast(connection.requestStartHandler(), new HttpServerCodec(decoder), connection);
	}

}

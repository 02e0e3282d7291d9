package org.acaciamux.examples.standin;

import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * The HTTP server of the stand-ins, bound to 127.0.0.1. All handlers and scheduled
 * actions run on its single event loop thread, so that the state of a stand-in needs no
 * locks.
 */
final class StandInServer implements AutoCloseable {

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final String ADDRESS = "127.0.0.1";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("stand-in"),
			NioIoHandler.newFactory());

	private final ChannelGroup connections = new DefaultChannelGroup(this.group.next());

	private final StandInHandler handler;

	private Channel listener;

	StandInServer(StandInHandler handler) {
		this.handler = handler;
	}

	/**
	 * Bind the server and wait until it accepts connections.
	 * @param port the port, 0 for an ephemeral one
	 * @return the bound port
	 */
	int start(int port) {
		this.listener = bind(port).syncUninterruptibly().channel();
		return port();
	}

	int port() {
		return ((java.net.InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Close the listener and all connections, then listen on the same port again, like a
	 * crashed process that its supervisor restarts. Retries every 100 ms while the port
	 * cannot be bound.
	 * @param pauseMs milliseconds between closing and listening
	 */
	void restart(long pauseMs) {
		int port = port();
		this.listener.close();
		this.connections.close();
		schedule(() -> rebind(port), pauseMs);
	}

	private void rebind(int port) {
		ChannelFuture bound = bind(port);
		bound.addListener((future) -> {
			if (future.isSuccess()) {
				this.listener = bound.channel();
			}
			else {
				schedule(() -> rebind(port), 100);
			}
		});
	}

	ScheduledFuture<?> schedule(Runnable action, long delayMs) {
		return this.group.schedule(action, delayMs, TimeUnit.MILLISECONDS);
	}

	private ChannelFuture bind(int port) {
		return new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					StandInServer.this.connections.add(channel);
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new RequestHandler());
				}

			})
			.bind(ADDRESS, port);
	}

	@Override
	public void close() {
		this.connections.close().awaitUninterruptibly();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			Exchange exchange = new Exchange(context.channel(), request);
			try {
				StandInServer.this.handler.handle(exchange);
			}
			catch (IllegalArgumentException ex) {
				exchange.replyError(400, ex.getMessage());
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (!(cause instanceof java.io.IOException)) {
				System.err.println("request failed: " + cause);
			}
			context.close();
		}

	}

}

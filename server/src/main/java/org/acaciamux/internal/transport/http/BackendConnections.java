package org.acaciamux.internal.transport.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.ReferenceCountUtil;

import org.acaciamux.internal.coordination.admission.Backend;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Pool of connections to the backend server. Invariants: a connection carries at most one
 * request at a time, and no two requests with the same id; one that has been idle for
 * longer than the limit is closed. Thread-safe.
 */
final class BackendConnections {

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	private static final int MAX_CHUNK_BYTES = 32 * 1024;

	private final RankedLock lock = new RankedLock(LockRank.LEAF);

	private final Deque<Channel> idle = new ArrayDeque<>();

	private final BackendSettings settings;

	private final Bootstrap bootstrap;

	private boolean closed;

	BackendConnections(EventLoopGroup group, BackendSettings settings) {
		this.settings = settings;
		this.bootstrap = new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs())
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)
						.setMaxChunkSize(MAX_CHUNK_BYTES);
					channel.pipeline().addLast("codec", new HttpClientCodec(config, false, false));
				}

			});
	}

	/**
	 * Obtain a connection for a request; one that may not be repeated gets a new
	 * connection.
	 * @param request the request
	 * @param result receives the connection, or the cause if none could be opened, on the
	 * connection's event loop
	 */
	void acquire(Backend.BackendRequest request, BiConsumer<Channel, Throwable> result) {
		Optional<Channel> pooled = request.repeatable() ? pollIdle() : Optional.empty();
		if (pooled.isPresent()) {
			Channel channel = pooled.get();
			channel.eventLoop().execute(() -> useOrConnect(channel, request.requestId(), result));
			return;
		}
		connect(result);
	}

	private void useOrConnect(Channel channel, String requestId, BiConsumer<Channel, Throwable> result) {
		if (channel.isActive() && CarriedRequests.of(channel).accepts(requestId)) {
			channel.pipeline().remove(IdleGuard.class);
			result.accept(channel, null);
			return;
		}
		channel.close();
		connect(result);
	}

	private void connect(BiConsumer<Channel, Throwable> result) {
		ChannelFuture future = this.bootstrap.connect(this.settings.host(), this.settings.port());
		future.addListener((done) -> {
			if (done.isSuccess()) {
				result.accept(future.channel(), null);
				return;
			}
			result.accept(null, done.cause());
		});
	}

	/**
	 * Return a connection to the pool after its request ended normally.
	 * @param channel the connection
	 */
	void release(Channel channel) {
		channel.pipeline().addLast(new IdleGuard());
		channel.config().setAutoRead(true);
		boolean kept = this.lock.get(() -> !this.closed && channel.isActive()
				&& this.idle.size() < this.settings.maxIdle() && this.idle.offerFirst(channel));
		if (!kept) {
			channel.close();
			return;
		}
		channel.eventLoop().schedule(() -> closeIfStillIdle(channel), this.settings.idleMs(), TimeUnit.MILLISECONDS);
	}

	private void closeIfStillIdle(Channel channel) {
		// A connection that was used and released again in the meantime is closed before
		// its idle time has passed, which only costs opening another one.
		if (this.lock.get(() -> this.idle.remove(channel))) {
			channel.close();
		}
	}

	private Optional<Channel> pollIdle() {
		return this.lock.get(() -> {
			Channel channel = this.idle.pollFirst();
			while (channel != null && !channel.isActive()) {
				channel = this.idle.pollFirst();
			}
			return Optional.ofNullable(channel);
		});
	}

	void close() {
		this.lock.run(() -> {
			this.closed = true;
			this.idle.forEach(Channel::close);
			this.idle.clear();
		});
	}

	/**
	 * Closes an idle connection on which anything arrives: it belongs to no request, and
	 * must not be taken for the response to the next one. Confined to the connection's
	 * event loop.
	 */
	private static final class IdleGuard extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ReferenceCountUtil.release(message);
			if (context.channel().isActive()) {
				EventLog.log(BackendEvent.UNREQUESTED_RESPONSE, CarriedRequests.of(context.channel()).last());
			}
			context.close();
		}

	}

}

package org.acaciamux.internal.transport.http;

import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

/**
 * HTTP client for the platform's APIs: one call per connection at a time, idle
 * connections are reused unless the client is created {@link #withoutReuse}. Invariants:
 * a connection whose call got no response in time is closed; a reply is
 * {@link Reply.NotSent} only if no byte of the request was written. Thread-safe; replies
 * complete on an event loop.
 */
public final class PlatformHttpClient implements AutoCloseable {

	private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

	private static final int MAX_IDLE = 8;

	/**
	 * Longest pause between the bytes of a response, in milliseconds; a lost packet is
	 * retransmitted within a second. Limiting the pause instead of the whole time lets a
	 * large response arrive over a slow link.
	 */
	private static final long MAX_READ_PAUSE_MS = 1_000;

	/**
	 * Longest time for one response, in milliseconds, so that bytes that arrive very
	 * slowly do not keep a call open forever. For comparison, 1 MB takes 1.2 s over an
	 * otherwise idle link of 7 Mbit/s.
	 */
	private static final long MAX_RESPONSE_MS = 30_000;

	/**
	 * Lateness of the check that ends a call above which the event loop counts as paused.
	 */
	private static final long LATE_CHECK_NANOS = 200_000_000L;

	/**
	 * Time in which the event loop reads once more before a call ends without a response,
	 * in milliseconds. Later bytes may be read in this time, too.
	 */
	private static final long READ_OPPORTUNITY_MS = 20;

	private final Bootstrap bootstrap;

	private final InetSocketAddress address;

	private final int maxConnections;

	private final int maxIdle;

	private final AtomicInteger connections = new AtomicInteger();

	private final Deque<Channel> idle = new ConcurrentLinkedDeque<>();

	private volatile boolean closed;

	/**
	 * Create a client. Connections are opened as calls need them.
	 * @param group the event loops; the caller shuts them down after this client
	 * @param address the platform's address
	 * @param connectTimeoutMs time to open a connection, 1 to 60,000 milliseconds
	 * @param maxConnections connections open at once, at least 1; further calls are
	 * refused without being sent
	 */
	public PlatformHttpClient(EventLoopGroup group, InetSocketAddress address, int connectTimeoutMs,
			int maxConnections) {
		this(group, address, connectTimeoutMs, maxConnections, MAX_IDLE);
	}

	private PlatformHttpClient(EventLoopGroup group, InetSocketAddress address, int connectTimeoutMs,
			int maxConnections, int maxIdle) {
		this.address = address;
		this.maxConnections = maxConnections;
		this.maxIdle = maxIdle;
		this.bootstrap = new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new ReadProgress(), new HttpClientCodec(), new InterimResponseFilter(),
								new HttpObjectAggregator(MAX_RESPONSE_BYTES), new Exchange());
				}
			});
	}

	/**
	 * Create a client that opens a connection for each call. Responses do not tell which
	 * call they answer, so a server that may answer a call twice needs this.
	 * @param group the event loops; the caller shuts them down after this client
	 * @param address the server's address
	 * @param connectTimeoutMs time to open a connection, 1 to 60,000 milliseconds
	 * @param maxConnections connections open at once, at least 1; further calls are
	 * refused without being sent
	 * @return the client
	 */
	public static PlatformHttpClient withoutReuse(EventLoopGroup group, InetSocketAddress address, int connectTimeoutMs,
			int maxConnections) {
		return new PlatformHttpClient(group, address, connectTimeoutMs, maxConnections, 0);
	}

	/**
	 * Make a call.
	 * @param method the HTTP method
	 * @param uri path and query
	 * @param body the body, empty for none
	 * @param timeoutMs longest time from the start of sending to the first byte of the
	 * response, at least 1 millisecond; also the longest pause between later bytes if it
	 * is shorter than {@link #MAX_READ_PAUSE_MS}
	 * @return the reply; never completes exceptionally
	 */
	public CompletionStage<Reply> call(HttpMethod method, String uri, byte[] body, long timeoutMs) {
		return call(method, uri, body, timeoutMs, () -> true);
	}

	/**
	 * Make a call that is dropped if it is no longer wanted once its connection is open.
	 * @param method the HTTP method
	 * @param uri path and query
	 * @param body the body, empty for none
	 * @param timeoutMs longest time from the start of sending to the first byte of the
	 * response, at least 1 millisecond; also the longest pause between later bytes if it
	 * is shorter than {@link #MAX_READ_PAUSE_MS}
	 * @param stillWanted checked just before the first byte is written
	 * @return the reply, {@link Reply.NotSent} if the call was no longer wanted; never
	 * completes exceptionally
	 */
	public CompletionStage<Reply> call(HttpMethod method, String uri, byte[] body, long timeoutMs,
			BooleanSupplier stillWanted) {
		Call call = new Call(request(method, uri, body), timeoutMs, stillWanted, new CompletableFuture<>());
		Channel channel = pollIdle();
		if (channel != null) {
			send(channel, call);
		}
		else {
			connect(call);
		}
		return call.reply;
	}

	private FullHttpRequest request(HttpMethod method, String uri, byte[] body) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri,
				Unpooled.wrappedBuffer(body));
		String host = this.address.getHostString() + ":" + this.address.getPort();
		request.headers().set(HttpHeaderNames.HOST, host);
		request.headers().set(HttpHeaderNames.ACCEPT, HttpHeaderValues.APPLICATION_JSON);
		if (body.length > 0) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		}
		HttpUtil.setContentLength(request, body.length);
		return request;
	}

	private Channel pollIdle() {
		Channel channel = this.idle.pollFirst();
		while (channel != null && !channel.isActive()) {
			channel = this.idle.pollFirst();
		}
		return channel;
	}

	private void connect(Call call) {
		if (this.closed) {
			call.notSent("the client is closed");
			return;
		}
		if (this.connections.incrementAndGet() > this.maxConnections) {
			this.connections.decrementAndGet();
			call.notSent("all " + this.maxConnections + " connections are in use");
			return;
		}
		this.bootstrap.connect(this.address).addListener((ChannelFuture connected) -> {
			if (!connected.isSuccess()) {
				this.connections.decrementAndGet();
				call.notSent("no connection to " + this.address + ": " + connected.cause().getMessage());
				return;
			}
			connected.channel().closeFuture().addListener((ignored) -> this.connections.decrementAndGet());
			send(connected.channel(), call);
		});
	}

	private void send(Channel channel, Call call) {
		channel.eventLoop().execute(() -> {
			if (!channel.isActive()) {
				connect(call);
				return;
			}
			if (!call.stillWanted.getAsBoolean()) {
				release(channel);
				call.notSent("the call was no longer wanted when its connection was open");
				return;
			}
			channel.pipeline().get(Exchange.class).start(call);
		});
	}

	private void release(Channel channel) {
		if (this.closed || this.idle.size() >= this.maxIdle) {
			channel.close();
			return;
		}
		this.idle.offerFirst(channel);
	}

	/**
	 * Close idle connections and refuse further calls. Calls in progress still get their
	 * reply or time out.
	 */
	@Override
	public void close() {
		this.closed = true;
		for (Channel channel = this.idle.pollFirst(); channel != null; channel = this.idle.pollFirst()) {
			channel.close();
		}
	}

	/**
	 * Result of a call.
	 */
	public sealed interface Reply {

		/**
		 * A complete response arrived.
		 *
		 * @param status the HTTP status
		 * @param headers the headers
		 * @param body the body
		 */
		record Response(int status, HttpHeaders headers, byte[] body) implements Reply {
		}

		/**
		 * No byte of the request was sent.
		 *
		 * @param detail what happened
		 */
		record NotSent(String detail) implements Reply {
		}

		/**
		 * The request was sent, at least in part, and no complete response arrived.
		 *
		 * @param detail what happened
		 */
		record NoAnswer(String detail) implements Reply {
		}

	}

	private record Call(FullHttpRequest request, long timeoutMs, BooleanSupplier stillWanted,
			CompletableFuture<Reply> reply) {

		void notSent(String detail) {
			this.request.release();
			this.reply.complete(new Reply.NotSent(detail));
		}

	}

	/**
	 * Records when bytes of a response arrive. Confined to the connection's event loop.
	 */
	private static final class ReadProgress extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			ctx.pipeline().get(Exchange.class).onBytesRead();
			ctx.fireChannelRead(message);
		}

	}

	/**
	 * The call that is in progress on a connection. Confined to the connection's event
	 * loop.
	 */
	private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {

		private ChannelHandlerContext context;

		private Call current;

		private Future<?> timeout;

		private long startedAt;

		private long lastReadAt;

		@Override
		public void handlerAdded(ChannelHandlerContext added) {
			this.context = added;
		}

		void start(Call call) {
			this.current = call;
			this.startedAt = System.nanoTime();
			this.lastReadAt = 0;
			scheduleCheck(call.timeoutMs);
			this.context.writeAndFlush(call.request).addListener((written) -> {
				if (!written.isSuccess()) {
					end(new Reply.NoAnswer("sending failed: " + written.cause().getMessage()));
					this.context.close();
				}
			});
		}

		private void scheduleCheck(long ms) {
			this.timeout = this.context.executor().schedule(this::checkTimeout, ms, TimeUnit.MILLISECONDS);
		}

		private void checkTimeout() {
			long left = leftMs(System.nanoTime());
			if (left > 0) {
				scheduleCheck(left);
				return;
			}
			checkAfterReading();
		}

		// What arrived in a pause of the event loop may not have been read, also if the
		// pause made the check late by a few milliseconds only.
		private void checkAfterReading() {
			long dueAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_OPPORTUNITY_MS);
			this.timeout = this.context.executor().schedule(() -> {
				long now = System.nanoTime();
				if (now - dueAt > LATE_CHECK_NANOS) {
					checkAfterReading();
				}
				else if (leftMs(now) > 0) {
					checkTimeout();
				}
				else {
					timeOut(timeOutDetail(now));
				}
			}, READ_OPPORTUNITY_MS, TimeUnit.MILLISECONDS);
		}

		private long leftMs(long now) {
			long elapsed = TimeUnit.NANOSECONDS.toMillis(now - this.startedAt);
			if (this.lastReadAt == 0) {
				return this.current.timeoutMs - elapsed;
			}
			long maxPause = Math.min(this.current.timeoutMs, MAX_READ_PAUSE_MS);
			long pause = TimeUnit.NANOSECONDS.toMillis(now - this.lastReadAt);
			return Math.min(maxPause - pause, MAX_RESPONSE_MS - elapsed);
		}

		private String timeOutDetail(long now) {
			if (this.lastReadAt == 0) {
				return "no response within " + this.current.timeoutMs + " ms";
			}
			return "the response was not complete after " + TimeUnit.NANOSECONDS.toMillis(now - this.startedAt)
					+ " ms, last byte " + TimeUnit.NANOSECONDS.toMillis(now - this.lastReadAt) + " ms ago";
		}

		private void timeOut(String detail) {
			end(new Reply.NoAnswer(detail));
			this.context.close();
		}

		void onBytesRead() {
			boolean first = this.lastReadAt == 0;
			this.lastReadAt = System.nanoTime();
			if (first && this.current != null) {
				this.timeout.cancel(false);
				checkTimeout();
			}
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
			if (response.decoderResult().isFailure()) {
				ctx.close();
				return;
			}
			boolean reusable = this.current != null && HttpUtil.isKeepAlive(response);
			Reply reply = new Reply.Response(response.status().code(), response.headers(),
					ByteBufUtil.getBytes(response.content()));
			if (reusable) {
				this.timeout.cancel(false);
				Call ended = this.current;
				this.current = null;
				release(ctx.channel());
				ended.reply.complete(reply);
				return;
			}
			end(reply);
			ctx.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			end(new Reply.NoAnswer("the connection was closed before the response was complete"));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			end(new Reply.NoAnswer("the connection failed: " + cause.getMessage()));
			ctx.close();
		}

		private void end(Reply reply) {
			if (this.current == null) {
				return;
			}
			this.timeout.cancel(false);
			Call ended = this.current;
			this.current = null;
			ended.reply.complete(reply);
		}

	}

}

package org.acaciamux.internal.process.direct;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.flow.FlowControlHandler;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.transport.http.limit.AcceptPace;
import org.acaciamux.internal.transport.http.limit.ClientAccount;
import org.acaciamux.internal.transport.http.limit.ConnectionGuard;
import org.acaciamux.internal.transport.http.limit.Limit;
import org.acaciamux.internal.transport.http.limit.LimitedDecoder;
import org.acaciamux.internal.transport.http.limit.Place;

/**
 * HTTP server for pages about the process itself: readiness, state for other routers,
 * metrics. Confined to the event loop.
 */
final class PageServer {

	/** State of the directory, for other routers. */
	static final String STATE_PATH = "/state";

	/**
	 * Query parameter of {@link #STATE_PATH}: version of the configuration that the
	 * client already has.
	 */
	static final String KNOWN_CONFIG = "config";

	/**
	 * Query parameter of {@link #STATE_PATH}: era of {@link #KNOWN_REVISION}.
	 */
	static final String KNOWN_ERA = "era";

	/**
	 * Query parameter of {@link #STATE_PATH}: revision up to which the client already
	 * knows the changes of backend servers.
	 */
	static final String KNOWN_REVISION = "revision";

	/**
	 * Prompt parts that backend servers have cached, for routers that have just started.
	 */
	static final String PLACEMENTS_PATH = "/placements";

	/** Metrics in the text exposition format. */
	static final String METRICS_PATH = "/metrics";

	/** Prompt parts under which servers crashed, for operators. */
	static final String SUSPECT_PARTS_PATH = "/suspect-parts";

	/**
	 * Query parameter of {@link #SUSPECT_PARTS_PATH}: a part that is cleared of all its
	 * crashes, at every router.
	 */
	static final String LIFT = "lift";

	/** Key of the page that is served if no other path matches. */
	static final String ANY_PATH = "*";

	private static final int ACCEPT_BACKLOG = 64;

	/** Longest time for a head or for reading a response, in milliseconds. */
	private static final long TIMEOUT_MS = 10_000;

	/** Largest content of a request, which no page needs. */
	private static final int MAX_CONTENT_BYTES = 65_536;

	/** Bytes that are read from a connection at once. */
	private static final int READ_BYTES = 2_048;

	private final EventLoop loop;

	private final Place place;

	private final ClientAccount clients;

	private final NanoClock clock;

	private final Map<String, Function<QueryStringDecoder, Page>> pages;

	/**
	 * Create a server that is not bound yet.
	 * @param loop the event loop
	 * @param place the address that it serves
	 * @param clients bounds the memory and connections of clients
	 * @param clock the monotonic clock
	 * @param pages the pages by path
	 */
	PageServer(EventLoop loop, Place place, ClientAccount clients, NanoClock clock,
			Map<String, Function<QueryStringDecoder, Page>> pages) {
		this.loop = loop;
		this.place = place;
		this.clients = clients;
		this.clock = clock;
		this.pages = pages;
	}

	ChannelFuture bind(InetSocketAddress address) {
		return new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new AcceptPace(this.clients, this.place, ACCEPT_BACKLOG))
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}
			})
			.bind(address);
	}

	private void accept(SocketChannel channel) {
		Handler handler = new Handler();
		handler.channel = channel;
		handler.guard = new ConnectionGuard(this.clients, this.place, this.clock, channel, TIMEOUT_MS, handler);
		LimitedDecoder decoder = LimitedDecoder.forPages(this.clients.bounds().headerFields());
		handler.guard.decoder(decoder);
		if (!handler.guard.open()) {
			channel.close();
			return;
		}
		channel.pipeline()
			.addLast(handler.guard, decoder, new HttpResponseEncoder(), new FlowControlHandler(), handler);
	}

	/**
	 * Read a numeric query parameter.
	 * @param query the query
	 * @param name the parameter's name
	 * @return the number, 0 if it is missing or invalid
	 */
	static long number(QueryStringDecoder query, String name) {
		String text = query.parameters().getOrDefault(name, List.of("")).get(0);
		return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
	}

	/**
	 * A page.
	 *
	 * @param status the HTTP status
	 * @param body the body
	 */
	record Page(int status, byte[] body) {

		static Page text(int status, String text) {
			return new Page(status, text.getBytes(StandardCharsets.UTF_8));
		}

	}

	/**
	 * Serves the requests of a connection one after the other, and none while its client
	 * does not read the responses.
	 */
	private final class Handler extends SimpleChannelInboundHandler<HttpObject> implements ConnectionGuard.Client {

		private ConnectionGuard guard;

		private Channel channel;

		private long contentBytes;

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
			if (message.decoderResult().isFailure()) {
				ctx.close();
				return;
			}
			if (message instanceof HttpRequest request) {
				this.contentBytes = 0;
				answer(ctx, request);
			}
			if (message instanceof HttpContent content) {
				this.contentBytes += content.content().readableBytes();
				if (this.contentBytes > MAX_CONTENT_BYTES) {
					ctx.close();
				}
			}
		}

		private void answer(ChannelHandlerContext ctx, HttpRequest request) {
			QueryStringDecoder query = new QueryStringDecoder(request.uri());
			Function<QueryStringDecoder, Page> any = PageServer.this.pages.getOrDefault(ANY_PATH,
					(unused) -> Page.text(404, ""));
			Page page = PageServer.this.pages.getOrDefault(query.path(), any).apply(query);
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(page.body()));
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, page.body().length);
			boolean keep = HttpUtil.isKeepAlive(request);
			HttpUtil.setKeepAlive(response, keep);
			ctx.writeAndFlush(response).addListener(keep ? (future) -> {
			} : ChannelFutureListener.CLOSE);
			if (ctx.channel().isWritable()) {
				this.guard.served();
			}
			else {
				ctx.channel().config().setAutoRead(false);
			}
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext ctx) {
			if (ctx.channel().isWritable()) {
				this.guard.served();
				ctx.channel().config().setAutoRead(true);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			ctx.close();
		}

		@Override
		public long heldBytes() {
			return 0;
		}

		@Override
		public boolean busy() {
			return false;
		}

		@Override
		public boolean bodyDue() {
			return false;
		}

		@Override
		public void close(Limit limit) {
			this.channel.close();
		}

	}

}

package org.acaciamux.internal.process.direct;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

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

	private final EventLoop loop;

	private final Map<String, Function<QueryStringDecoder, Page>> pages;

	PageServer(EventLoop loop, Map<String, Function<QueryStringDecoder, Page>> pages) {
		this.loop = loop;
		this.pages = pages;
	}

	ChannelFuture bind(InetSocketAddress address) {
		return new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline().addLast(new HttpServerCodec(), new Handler());
				}
			})
			.bind(address);
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

	private final class Handler extends SimpleChannelInboundHandler<HttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
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
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			ctx.close();
		}

	}

}

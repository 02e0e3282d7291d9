package org.acaciamux.internal.transport.admin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Serves the admin pages. Each connection carries one request; request bodies over 4 KB
 * are refused. Thread-safe.
 */
public final class AdminServer implements AutoCloseable {

	private static final int MAX_REQUEST_BYTES = 4_096;

	private static final String JSON = "application/json";

	private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

	private final EventLoopGroup group;

	private final AdminPages pages;

	private Channel channel;

	public AdminServer(EventLoopGroup group, AdminPages pages) {
		this.group = group;
		this.pages = pages;
	}

	/**
	 * Listen for requests of operators.
	 * @param address the address; port 0 lets the operating system choose
	 * @return the future of the bound channel
	 */
	public ChannelFuture bind(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap();
		bootstrap.group(this.group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel ch) {
					ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES));
					ch.pipeline().addLast(new PageHandler(AdminServer.this.pages));
				}
			});
		ChannelFuture future = bootstrap.bind(address);
		this.channel = future.channel();
		return future;
	}

	@Override
	public void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private static final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final AdminPages pages;

		private PageHandler(AdminPages pages) {
			this.pages = pages;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			ctx.writeAndFlush(answer(request)).addListener(ChannelFutureListener.CLOSE);
		}

		private FullHttpResponse answer(FullHttpRequest request) {
			String path = new QueryStringDecoder(request.uri()).path();
			if (request.method().equals(HttpMethod.POST) && path.equals("/drain")) {
				this.pages.beginDrain();
				return page(HttpResponseStatus.ACCEPTED, JSON, "{\"draining\":true}\n");
			}
			if (!request.method().equals(HttpMethod.GET)) {
				return page(HttpResponseStatus.METHOD_NOT_ALLOWED, TEXT,
						"use GET for pages and POST for /drain, for example: curl -X POST http://127.0.0.1:9090/drain\n");
			}
			return switch (path) {
				case "/live" -> page(HttpResponseStatus.OK, TEXT, "live\n");
				case "/ready" -> readiness();
				case "/metrics" -> page(HttpResponseStatus.OK, TEXT, this.pages.metrics());
				case "/dump" -> page(HttpResponseStatus.OK, JSON, this.pages.dump().toPrettyString() + "\n");
				case "/status" -> page(HttpResponseStatus.OK, JSON, this.pages.status().toPrettyString() + "\n");
				default -> page(HttpResponseStatus.NOT_FOUND, TEXT,
						"no such page; pages are /live /ready /metrics /dump /status and POST /drain\n");
			};
		}

		private FullHttpResponse readiness() {
			Optional<String> reason = this.pages.notReadyReason();
			if (reason.isPresent()) {
				return page(HttpResponseStatus.SERVICE_UNAVAILABLE, TEXT, "not ready: " + reason.get() + "\n");
			}
			return page(HttpResponseStatus.OK, TEXT, "ready\n");
		}

		private static FullHttpResponse page(HttpResponseStatus status, String type, String body) {
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
					Unpooled.wrappedBuffer(bytes));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
			return response;
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			ctx.close();
		}

	}

}

package org.acaciamux.internal.transport.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import org.acaciamux.internal.coordination.admission.Backend;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.Headers;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.transport.http.response.ConnectionEnd;

/**
 * One request on one connection to the backend server. Invariants: the listener gets
 * exactly one call of {@code end} or {@code failed}, as its last call; all callbacks run
 * on the connection's event loop; a response that may be the one to another request is
 * not passed on, and a connection is used again only if the server named the request in
 * the response. {@link #pause}, {@link #resume} and {@link #cancel} may be called from
 * any thread.
 */
final class BackendExchange implements Backend.Call {

	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-connection",
			"transfer-encoding", "upgrade", "te", "trailer", "content-length", "host", "expect");

	private static final String HANDLER_NAME = "exchange";

	private final Backend.BackendRequest request;

	private final Backend.Listener listener;

	private final BackendConnections connections;

	private final Consumer<Runnable> canceller;

	private final String authority;

	private volatile Channel channel;

	private volatile boolean paused;

	private volatile boolean cancelled;

	private boolean ended;

	private boolean requestWritten;

	/**
	 * Create an exchange.
	 * @param request the request
	 * @param listener receives the response
	 * @param connections the connections
	 * @param authority the server's address and port
	 * @param canceller asks the server to stop the request, then runs the given action
	 * once the server has answered or the time limit has passed
	 */
	BackendExchange(Backend.BackendRequest request, Backend.Listener listener, BackendConnections connections,
			String authority, Consumer<Runnable> canceller) {
		this.request = request;
		this.listener = listener;
		this.connections = connections;
		this.authority = authority;
		this.canceller = canceller;
	}

	void start() {
		this.connections.acquire(this.request, this::connected);
	}

	private void connected(Channel connection, Throwable cause) {
		if (connection == null) {
			fail((cause instanceof ConnectTimeoutException) ? Backend.Break.NOT_CONNECTED : Backend.Break.NOT_SENT,
					"The backend server at " + this.authority + " did not accept a connection: " + cause);
			return;
		}
		this.channel = connection;
		if (this.cancelled) {
			this.connections.release(connection);
			fail(Backend.Break.CANCELLED, "The request was cancelled before it was sent");
			return;
		}
		connection.pipeline().addLast(HANDLER_NAME, new Handler());
		connection.config().setAutoRead(!this.paused);
		CarriedRequests.of(connection).send(this.request.requestId());
		ConnectionEnd.limitUnread(connection, this.request.body().size());
		connection.writeAndFlush(encode()).addListener((future) -> this.requestWritten = future.isSuccess());
	}

	private FullHttpRequest encode() {
		ByteBuf body = Unpooled.wrappedBuffer(this.request.body().asReadOnlyByteBuffer());
		FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(this.request.method()), this.request.path(), body);
		for (Header header : this.request.headers()) {
			if (!NOT_FORWARDED.contains(header.getName().toLowerCase(Locale.ROOT))) {
				message.headers().add(header.getName(), header.getValue());
			}
		}
		message.headers().set(HttpHeaderNames.HOST, this.authority);
		message.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.request.body().size());
		message.headers().set(Headers.REQUEST_ID, this.request.requestId());
		message.headers().set(Headers.PRIORITY, this.request.priority());
		return message;
	}

	@Override
	public void pause() {
		this.paused = true;
		applyPause();
	}

	@Override
	public void resume() {
		this.paused = false;
		applyPause();
	}

	/**
	 * Starts or stops reading. Runs on the event loop, so that it does not affect a
	 * connection that meanwhile carries another request.
	 */
	private void applyPause() {
		Channel connection = this.channel;
		if (connection != null) {
			connection.eventLoop().execute(() -> {
				if (!this.ended) {
					connection.config().setAutoRead(!this.paused);
				}
			});
		}
	}

	@Override
	public void cancel() {
		this.cancelled = true;
		Channel connection = this.channel;
		if (connection != null) {
			connection.eventLoop().execute(this::cancelSentRequest);
		}
	}

	private void cancelSentRequest() {
		if (!this.ended) {
			this.canceller.accept(this.channel::close);
		}
	}

	private void fail(Backend.Break cause, String detail) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		boolean ownCancel = this.cancelled && cause == Backend.Break.BROKEN_OFF;
		this.listener.failed(ownCancel ? Backend.Break.CANCELLED : cause, detail);
	}

	private static List<Header> headersOf(HttpResponse response) {
		List<Header> headers = new ArrayList<>();
		for (Map.Entry<String, String> entry : response.headers()) {
			if (!NOT_FORWARDED.contains(entry.getKey().toLowerCase(Locale.ROOT))) {
				headers.add(Header.newBuilder().setName(entry.getKey()).setValue(entry.getValue()).build());
			}
		}
		return headers;
	}

	/**
	 * Reads the response. Runs on the connection's event loop only.
	 */
	private final class Handler extends SimpleChannelInboundHandler<HttpObject> {

		private boolean reusable;

		private boolean interim;

		private ResponseEnd responseEnd;

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (BackendExchange.this.ended) {
				return;
			}
			if (message.decoderResult().isFailure()) {
				breakOff(context, "The response is malformed: " + message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpResponse response) {
				Optional<String> unusable = unusable(context, response);
				if (unusable.isPresent()) {
					breakOff(context, unusable.get());
					return;
				}
				head(context, response);
			}
			if (message instanceof HttpContent content && !this.interim) {
				content(content);
			}
			if (message instanceof LastHttpContent) {
				complete(context);
			}
		}

		private Optional<String> unusable(ChannelHandlerContext context, HttpResponse response) {
			Optional<String> unreadable = ResponseEnd.unreadable(response);
			if (unreadable.isPresent()) {
				return Optional.of("The response cannot be read: " + unreadable.get());
			}
			if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
				return Optional.of("The backend server switched protocols");
			}
			if (isInterim(response)) {
				return Optional.empty();
			}
			Optional<String> unattributed = CarriedRequests.of(context.channel()).unattributed(response);
			unattributed.ifPresent((reason) -> EventLog.log(BackendEvent.RESPONSE_UNATTRIBUTED,
					response.status().code(), BackendExchange.this.request.requestId(), reason));
			return unattributed.map((reason) -> "A response cannot be attributed to the request: " + reason);
		}

		private static boolean isInterim(HttpResponse response) {
			return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		}

		private void head(ChannelHandlerContext context, HttpResponse response) {
			this.interim = isInterim(response);
			if (!this.interim) {
				this.responseEnd = ResponseEnd.of(HttpMethod.valueOf(BackendExchange.this.request.method()), response,
						false);
				// Without ids, a second response could not be told from the next one.
				this.reusable = HttpUtil.isKeepAlive(response)
						&& CarriedRequests.of(context.channel()).namesLast(response);
				BackendExchange.this.listener.head(response.status().code(), headersOf(response));
				if (this.responseEnd.withConnection()) {
					BackendExchange.this.listener.endsWithConnection();
				}
			}
		}

		private void content(HttpContent content) {
			if (content.content().isReadable()) {
				this.responseEnd.data(content.content());
				BackendExchange.this.listener.data(ByteString.copyFrom(content.content().nioBuffer()));
			}
		}

		private void complete(ChannelHandlerContext context) {
			if (this.interim) {
				return;
			}
			Optional<String> truncation = truncation(context);
			if (truncation.isPresent()) {
				breakOff(context, "The response is incomplete: " + truncation.get());
				return;
			}
			BackendExchange.this.ended = true;
			context.pipeline().remove(this);
			if (this.reusable && BackendExchange.this.requestWritten && !BackendExchange.this.cancelled) {
				BackendExchange.this.connections.release(context.channel());
			}
			else {
				context.close();
			}
			BackendExchange.this.listener.end();
		}

		private Optional<String> truncation(ChannelHandlerContext context) {
			// The decoder also reports an end when this process closes the connection.
			boolean closedHere = BackendExchange.this.cancelled || context.channel().eventLoop().isShuttingDown();
			if (closedHere && this.responseEnd.withConnection()) {
				return Optional.of("this agent closed the connection that was to end it");
			}
			return ConnectionEnd.truncation(this.responseEnd.withConnection(), BackendExchange.this.requestWritten)
				.or(this.responseEnd::truncation);
		}

		private void breakOff(ChannelHandlerContext context, String detail) {
			context.close();
			fail(Backend.Break.BROKEN_OFF, detail);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			fail(Backend.Break.BROKEN_OFF, "The backend server closed the connection before the response was complete");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			breakOff(context, "The connection to the backend server failed: " + cause);
		}

	}

}

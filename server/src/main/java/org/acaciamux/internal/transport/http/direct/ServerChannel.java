package org.acaciamux.internal.transport.http.direct;

import java.io.IOException;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.acaciamux.internal.coordination.direct.ResponsePolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerEntry;
import org.acaciamux.internal.event.LogText;
import org.acaciamux.internal.transport.http.ResponseEnd;
import org.acaciamux.internal.transport.http.response.ConnectionEnd;

/**
 * One connection to a backend server, which carries one request at a time. Invariants: a
 * response reaches the listener only if it carries the attempt id of the current request,
 * and none does after one without that id which may be the response to this request; its
 * end is reported only if nothing shows that a part of it is missing; a connection on
 * which anything unexpected arrived is not used again, nor one to a former lifetime of
 * its server. Confined to the event loop.
 */
final class ServerChannel extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * Idle time after which a connection is not reused if the server does not state its
	 * own limit, in milliseconds.
	 */
	private static final long DEFAULT_KEEP_ALIVE_MS = 4_000;

	/**
	 * Margin below the server's stated limit, in milliseconds: covers the time that a
	 * request takes to the server.
	 */
	private static final long KEEP_ALIVE_MARGIN_MS = 400;

	private static final long NANOS_PER_MS = 1_000_000;

	private final ServerChannels owner;

	private final String serverId;

	/**
	 * The server's lifetime that the directory listed when the connection was opened or
	 * last used. The directory lists a restart late, so a connection that was opened
	 * shortly before may lead to a later lifetime.
	 */
	private String lifetime;

	private final WireFormat format;

	private Channel channel;

	private ServerResponseDecoder decoder;

	private ServerListener listener;

	private final SentAttempts attempts = new SentAttempts();

	/** Tells the connection apart from the others of the router in the log. */
	private final int number;

	private boolean reusable = true;

	/** Whether the rest of a response is not read. */
	private boolean abandoned;

	private boolean unrequestedReported;

	/** Responses that came before the one to the current request. */
	private SkippedResponses skipped = new SkippedResponses();

	private HttpMethod method = HttpMethod.GET;

	private boolean eventsExpected;

	/** The end of the response that is being read, null while there is none. */
	private ResponseEnd responseEnd;

	private boolean requestWritten;

	private boolean reused;

	private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

	private long idleSince;

	/** When the last request was sent, or the connection created before that. */
	private long sentAt;

	ServerChannel(ServerChannels owner, int number, ServerEntry server, WireFormat format) {
		super(false);
		this.owner = owner;
		this.number = number;
		this.idleSince = owner.now();
		this.sentAt = this.idleSince;
		this.serverId = server.id();
		this.lifetime = server.lifetime();
		this.format = format;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
		this.decoder = ctx.pipeline().get(ServerResponseDecoder.class);
	}

	String serverId() {
		return this.serverId;
	}

	/**
	 * Describe the connection for the log.
	 * @return its number and how many requests were sent on it so far
	 */
	String describe() {
		return this.number + "/" + this.attempts.count();
	}

	/**
	 * Record that the connection has become idle.
	 * @param now the monotonic time in nanoseconds
	 */
	void idle(long now) {
		this.idleSince = now;
	}

	/**
	 * Return whether a request can be written to the connection.
	 * @return whether it is open
	 */
	boolean active() {
		return this.channel.isActive();
	}

	boolean usable(long now) {
		// A response that has begun while the connection is idle is a late one.
		return this.channel.isActive() && this.reusable && !this.decoder.hasInput()
				&& (now - this.idleSince) / NANOS_PER_MS < this.keepAliveMs
				&& this.owner.lifetime(this.serverId).map(this.lifetime::equals).orElse(true);
	}

	/**
	 * Return whether a request with an attempt id was sent on the connection.
	 * @param attempt the attempt id
	 * @return whether one was
	 */
	boolean carried(String attempt) {
		return this.attempts.contains(attempt);
	}

	/**
	 * Return whether an earlier request has used the connection. The server may close a
	 * reused connection at any time.
	 * @return whether it is reused
	 */
	boolean reused() {
		return this.reused;
	}

	/**
	 * Send a request.
	 * @param request the request
	 * @param attempt the attempt id that the response must carry
	 * @param events whether a response without a content type is a stream of events
	 * @param receiver receives the response
	 */
	void send(FullHttpRequest request, String attempt, boolean events, ServerListener receiver) {
		this.listener = receiver;
		this.lifetime = this.owner.lifetime(this.serverId).orElse(this.lifetime);
		this.attempts.sent(attempt);
		this.sentAt = this.owner.now();
		this.method = request.method();
		this.eventsExpected = events;
		this.requestWritten = false;
		this.responseEnd = null;
		this.skipped = new SkippedResponses();
		ConnectionEnd.limitUnread(this.channel, request.content().readableBytes());
		this.channel.writeAndFlush(request).addListener((ChannelFutureListener) (future) -> {
			if (future.isSuccess()) {
				this.requestWritten = true;
			}
			else {
				broken("sending failed: " + future.cause());
			}
		});
	}

	/**
	 * Cancel the current request by closing the connection.
	 */
	void cancel() {
		boolean undelivered = this.listener != null && this.responseEnd == null;
		this.listener = null;
		this.abandoned = true;
		if (undelivered && this.channel.isActive() && this.owner.resetsUndelivered()) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		this.channel.close();
	}

	void close() {
		this.channel.close();
	}

	void setReading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	/**
	 * Return whether a response answers the current request, and that one is HEAD.
	 * @param response the head of the response
	 * @return whether it does
	 */
	boolean answersHead(HttpResponse response) {
		return this.listener != null && this.method.equals(HttpMethod.HEAD) && match(response) == AttemptMatch.SAME;
	}

	private AttemptMatch match(HttpResponse response) {
		return this.attempts.match(this.format.reply(response).attemptIds());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
		try {
			read(message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject message) {
		if (this.listener == null) {
			// Bytes that belong to no request, for example a second response.
			this.reusable = false;
			reportUnrequested(message);
			this.channel.close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			broken("the response is malformed: " + message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpResponse response) {
			head(response);
		}
		if (this.listener != null && message instanceof HttpContent content) {
			content(content);
		}
	}

	private DroppedResponse dropped(HttpResponse response, AttemptMatch match) {
		return new DroppedResponse(response.status().code(), match, this.format.reply(response));
	}

	// The rest of a response that is not read belongs to its request.
	private void reportUnrequested(HttpObject message) {
		if (this.abandoned && !(message instanceof HttpResponse)) {
			return;
		}
		if (this.abandoned) {
			this.owner.responseAfterEnd();
		}
		if (this.unrequestedReported) {
			return;
		}
		this.unrequestedReported = true;
		String response = (message instanceof HttpResponse head) ? dropped(head, match(head)).inFields() : "";
		long now = this.owner.now();
		this.owner.unrequested(this, this.abandoned,
				response + " last=" + LogText.id(this.attempts.last()) + " lastAgeMs="
						+ (now - this.sentAt) / NANOS_PER_MS + " idleMs=" + (now - this.idleSince) / NANOS_PER_MS);
	}

	private void head(HttpResponse response) {
		this.owner.received(this.serverId);
		WireFormat.ServerReply reply = this.format.reply(response);
		// A misdirected request was answered by another server.
		if (reply.leaving() && !response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			announced();
		}
		AttemptMatch match = this.attempts.match(reply.attemptIds());
		if (HttpStatusClass.INFORMATIONAL.contains(response.status().code())) {
			skipResponse(response, match);
			return;
		}
		if (match != AttemptMatch.SAME) {
			foreign(response, match);
			return;
		}
		Optional<String> unreadable = ResponseEnd.unreadable(response);
		if (unreadable.isPresent()) {
			broken(unreadable.get());
			return;
		}
		this.responseEnd = ResponseEnd.of(this.method, response, this.eventsExpected);
		if (!HttpUtil.isKeepAlive(response) || this.responseEnd.withConnection()) {
			this.reusable = false;
		}
		KeepAlive.limitMs(response).ifPresent((ms) -> this.keepAliveMs = ms - KEEP_ALIVE_MARGIN_MS);
		if (ResponsePolicy.failure(response.status().code())) {
			// A late copy without an attempt id would end the next request.
			this.reusable = false;
		}
		if (this.method.equals(HttpMethod.HEAD)) {
			// A later copy of this response could not be told from one with a body.
			this.reusable = false;
		}
		this.listener.head(response, reply);
	}

	private void foreign(HttpResponse response, AttemptMatch match) {
		this.reusable = false;
		this.owner.foreignResponse();
		int status = response.status().code();
		// The decoder would take the response that follows for the body of this one.
		boolean endsHead = match == AttemptMatch.MISSING && this.method.equals(HttpMethod.HEAD);
		if (endsHead || this.attempts.mayAnswerLast(match, !HttpStatusClass.SUCCESS.contains(status))) {
			this.owner.unattributedResponse();
			this.listener.skipped(dropped(response, match));
			broken(SendResult.UNATTRIBUTED, "a response " + status + " that may be the one to the request has "
					+ ((match == AttemptMatch.MISSING) ? "no attempt id" : "an unknown attempt id"));
			return;
		}
		// The response to the current request may follow.
		skipResponse(response, match);
	}

	// If the directory has listed a restart since the request was sent, the connection
	// may have been opened after it, so neither of the lifetimes gets new requests.
	private void announced() {
		this.owner.leaving(this.lifetime);
		this.owner.lifetime(this.serverId)
			.filter((listed) -> !listed.equals(this.lifetime))
			.ifPresent(this.owner::leaving);
	}

	private void skipResponse(HttpResponse response, AttemptMatch match) {
		this.owner.skippedResponse();
		this.listener.skipped(dropped(response, match));
		this.skipped.head(response).ifPresent(this::broken);
	}

	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skipped.inProgress()) {
			this.skipped.content(content).ifPresent(this::broken);
			return;
		}
		if (this.responseEnd == null) {
			return;
		}
		ServerListener receiver = this.listener;
		ByteBuf data = content.content();
		if (data.isReadable()) {
			this.owner.received(this.serverId);
			this.responseEnd.data(data);
			receiver.data(data);
		}
		if (last && this.listener == receiver) {
			end();
		}
	}

	private void end() {
		Optional<String> truncation = ConnectionEnd.truncation(this.responseEnd.withConnection(), this.requestWritten)
			.or(this.responseEnd::truncation);
		boolean endMarked = !this.responseEnd.withConnection();
		this.responseEnd = null;
		if (truncation.isPresent()) {
			broken(truncation.get());
			return;
		}
		ServerListener receiver = this.listener;
		this.listener = null;
		finish();
		receiver.completed(endMarked);
	}

	private void finish() {
		this.reused = true;
		this.idleSince = this.owner.now();
		this.channel.config().setAutoRead(true);
		// If the response ended before the request was written completely, the server
		// would parse the rest of the body as the next request.
		if (!this.reusable || !this.requestWritten || !this.channel.isActive()) {
			this.reusable = false;
			this.channel.close();
			return;
		}
		this.owner.release(this);
	}

	private void broken(String reason) {
		broken(SendResult.BROKEN, reason);
	}

	private void broken(SendResult result, String reason) {
		ServerListener receiver = this.listener;
		this.listener = null;
		this.reusable = false;
		this.abandoned = true;
		this.channel.close();
		if (receiver != null) {
			receiver.broken(result, reason);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.owner.closed(this);
		broken("the connection was closed before the response was complete");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		broken((cause instanceof IOException) ? "the connection failed: " + cause.getMessage() : cause.toString());
	}

}

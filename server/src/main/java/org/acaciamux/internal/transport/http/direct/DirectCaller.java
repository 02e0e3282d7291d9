package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.acaciamux.internal.transport.http.limit.ConnectionGuard;
import org.acaciamux.internal.transport.http.limit.Limit;

/**
 * One connection of a caller. Invariants: requests are answered one at a time in the
 * order received; in a drain, those that have arrived before a response are answered
 * before the connection closes; an incomplete response ends by closing the connection, or
 * by resetting it if it has no chunks, so that it never looks complete; a complete one is
 * written before the connection closes, unless its caller stops reading; when the caller
 * closes its connection, the current request is cancelled. Confined to the event loop.
 */
final class DirectCaller extends ChannelInboundHandlerAdapter implements ConnectionGuard.Client {

	private final CallerWait wait = new CallerWait();

	private final DirectContext context;

	private final DirectFrontend frontend;

	private final CallerInput input;

	private final ReadAhead readAhead;

	private ConnectionGuard guard;

	private Channel channel;

	private ResponseWriter writer;

	private HttpRequest head;

	/** Null until the first head is complete. */
	private RequestBody body;

	/** Limit in force when the head of the request was read. */
	private int maxBodyBytes;

	private DirectExchange exchange;

	private boolean closing;

	private boolean unservedLogged;

	/** Why the router ended the connection, empty if it has not. */
	private Optional<CallerEnds.Cause> endCause = Optional.empty();

	DirectCaller(DirectContext context, DirectFrontend frontend, CallerInput input) {
		this.context = context;
		this.frontend = frontend;
		this.input = input;
		this.readAhead = new ReadAhead(context.bodyBudget());
	}

	void guard(ConnectionGuard guard) {
		this.guard = guard;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
		this.writer = new ResponseWriter(this.channel, this::mayClose, this.context.now());
		this.wait.begin(this.context.now(), false);
	}

	/**
	 * Record that bytes were read, after they have been parsed.
	 */
	void bytesRead() {
		if (this.exchange == null) {
			this.wait.read(this.context.now(), this.input.hasInput());
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!(message instanceof HttpObject object) || this.closing) {
			this.frontend.unserved().discard(message);
			return;
		}
		if (this.exchange != null || !this.readAhead.isEmpty() || !this.guard.admitsRequest()) {
			this.readAhead.add(object);
			if (this.readAhead.full() || this.exchange == null) {
				this.channel.config().setAutoRead(false);
			}
			return;
		}
		read(object);
	}

	private void read(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				if (message instanceof HttpRequest request) {
					this.head = request;
				}
				malformed(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest request) {
				begin(request);
			}
			if (!this.closing && message instanceof HttpContent content) {
				add(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void malformed(Throwable cause) {
		boolean tooLong = cause instanceof TooLongFrameException;
		refuseAndClose(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
				"the request cannot be parsed: " + cause.getMessage());
	}

	private void begin(HttpRequest request) {
		this.head = request;
		this.maxBodyBytes = this.frontend.maxBodyBytes();
		this.wait.headComplete(this.context.now());
		this.writer.request(request);
		RequestFraming.problem(request).ifPresent((problem) -> refuseAndClose(HttpResponseStatus.BAD_REQUEST, problem));
		if (this.closing) {
			return;
		}
		long announced = HttpUtil.getContentLength(request, 0L);
		if (announced > this.maxBodyBytes) {
			refuseTooLarge();
			return;
		}
		this.body = new RequestBody(this.context.bodyBudget(), announced, this.maxBodyBytes, this::refuseBody);
		if (HttpUtil.is100ContinueExpected(request)) {
			this.writer.requestBody();
		}
	}

	private void add(HttpContent content) {
		if (this.head == null) {
			return;
		}
		ByteBuf data = content.content();
		if (data.isReadable()) {
			if (this.body.length() + data.readableBytes() > this.maxBodyBytes) {
				refuseTooLarge();
				return;
			}
			this.body.add(data);
		}
		if (!this.closing && content instanceof LastHttpContent) {
			HttpRequest request = this.head;
			this.head = null;
			this.exchange = new DirectExchange(this.context, this, request, this.body.complete());
			this.exchange.accept();
		}
	}

	private void refuseTooLarge() {
		refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
				"the body is larger than " + this.maxBodyBytes + " bytes");
	}

	// The request has not run, because its body is not complete.
	private void refuseBody() {
		this.context.metrics().bodyRefused();
		refuseAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, OutgoingHeaders.spreadRetryAfter(),
				"the memory for request bodies is used up: held=" + this.context.bodyBudget().bytes() + " announced="
						+ this.body.announced());
	}

	private void refuseAndClose(HttpResponseStatus status, String reason) {
		refuseAndClose(status, OutgoingHeaders.FACTORY.newHeaders(), reason);
	}

	private void refuseAndClose(HttpResponseStatus status, HttpHeaders headers, String reason) {
		this.closing = true;
		Optional<HttpRequest> refused = Optional.ofNullable(this.head);
		this.head = null;
		releaseBody();
		boolean written = false;
		try {
			this.frontend.unserved().refused(refused, status.code(), reason);
			this.writer.refuse(refused, status, headers);
			written = true;
		}
		finally {
			if (!written) {
				this.channel.close();
			}
		}
	}

	private void releaseBody() {
		if (this.body != null) {
			this.body.release();
		}
	}

	/**
	 * Send a complete response.
	 * @param status the status
	 * @param headers its headers, without framing
	 * @param content the body
	 */
	void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		finished(this.writer.respond(status, headers, content));
	}

	/**
	 * Send the head of a response whose length is not known.
	 * @param status the status
	 * @param headers its headers, without framing
	 */
	void startStream(HttpResponseStatus status, HttpHeaders headers) {
		this.writer.startStream(status, headers);
	}

	void data(ByteBuf data) {
		this.writer.data(data);
	}

	/**
	 * Return whether the current request is a HEAD request, whose response has no body.
	 * @return whether it is
	 */
	boolean answersHead() {
		return this.writer.answersHead();
	}

	boolean writable() {
		return this.writer.writable();
	}

	void endStream() {
		finished(this.writer.endStream());
	}

	/**
	 * Close the connection although the response is incomplete.
	 */
	void breakOff() {
		this.exchange = null;
		end(CallerEnds.Cause.BROKEN_OFF, "the response cannot be completed");
	}

	private void end(CallerEnds.Cause cause, String reason) {
		this.closing = true;
		this.endCause = Optional.of(cause);
		try {
			this.frontend.ends().ended(cause, this.wait.ms(this.context.now()), this.readAhead.size(), reason);
		}
		finally {
			this.channel.close();
		}
	}

	// Requests that have arrived in a drain are answered before the connection closes.
	private boolean mayClose() {
		return this.context.draining() && !this.input.hasInput() && this.readAhead.isEmpty();
	}

	private void finished(boolean last) {
		this.exchange = null;
		releaseBody();
		this.wait.begin(this.context.now(), this.input.hasInput());
		this.guard.served();
		if (last) {
			this.closing = true;
			return;
		}
		readOn();
	}

	// A caller that leaves more unread than the account admits gets no further responses.
	private void readOn() {
		while (this.exchange == null && !this.closing && this.guard.admitsRequest() && !this.readAhead.isEmpty()) {
			read(this.readAhead.poll());
		}
		boolean blocked = this.exchange == null && !this.guard.admitsRequest();
		this.channel.config().setAutoRead(this.closing || !blocked && !this.readAhead.full());
	}

	@Override
	public long heldBytes() {
		return this.readAhead.heldBytes() + ((this.body != null) ? this.body.reserved() : 0);
	}

	@Override
	public boolean busy() {
		return this.exchange != null;
	}

	@Override
	public boolean bodyDue() {
		return this.head != null && this.exchange == null;
	}

	// A refusal would keep the head until the caller has read it.
	@Override
	public void close(Limit limit) {
		String reason = "the limit of " + limit.label() + " is reached";
		end(CallerEnds.Cause.LIMIT, reason);
		if (this.exchange == null) {
			logUnserved(CallerEnds.Cause.LIMIT, reason);
			this.head = null;
			this.input.release();
			this.writer.release();
			ended();
		}
	}

	/**
	 * Check the time limits of a connection that serves no request.
	 * @param headerTimeoutMs longest time for the headers of a request, in milliseconds
	 * @param idleTimeoutMs longest time without bytes, read or written, otherwise, in
	 * milliseconds
	 */
	void tick(long headerTimeoutMs, long idleTimeoutMs) {
		if (overdue(headerTimeoutMs, idleTimeoutMs).isPresent()) {
			this.context.afterReading(() -> overdue(headerTimeoutMs, idleTimeoutMs).ifPresent(this::timedOut));
		}
	}

	private Optional<CallerWait.Awaited> overdue(long headerTimeoutMs, long idleTimeoutMs) {
		if (this.exchange != null) {
			return Optional.empty();
		}
		long now = this.context.now();
		long progressAt = this.writer.delivery().progressAt(now);
		if (!this.writer.delivery().written()) {
			return this.wait.readingOverdue(now, progressAt, idleTimeoutMs);
		}
		this.wait.written(progressAt);
		if (this.closing) {
			return Optional.empty();
		}
		int rate = this.context.clients().bounds().bodyBytesPerSecond();
		return this.wait.overdue(now, headerTimeoutMs, idleTimeoutMs)
			.or(() -> this.wait.bodyTooSlow(now, bodyBytes(), idleTimeoutMs, rate));
	}

	private int bodyBytes() {
		return (this.body != null) ? this.body.length() : 0;
	}

	private void timedOut(CallerWait.Awaited missing) {
		switch (missing) {
			case HEADERS -> refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the headers took too long");
			case BODY -> refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the rest of the body does not come");
			case READING -> end(CallerEnds.Cause.STALLED, "the caller does not read its response");
			default -> end(CallerEnds.Cause.IDLE, "no request within the idle time");
		}
	}

	private boolean idle() {
		return this.exchange == null && !this.closing && this.wait.forRequest() && this.writer.delivery().written();
	}

	void closeIfIdle() {
		if (!idle()) {
			return;
		}
		this.context.afterReading(() -> {
			if (idle()) {
				end(CallerEnds.Cause.DRAIN, "the router stops");
			}
		});
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.exchange != null) {
			this.exchange.callerWritable(this.channel.isWritable());
		}
		else if (this.channel.isWritable()) {
			readOn();
		}
	}

	/**
	 * Log the requests that were read and will not be served, and the responses that are
	 * not written. Has no effect if they have been logged.
	 * @param cause why, unless the router has ended the connection before
	 * @param reason the details
	 */
	void logUnserved(CallerEnds.Cause cause, String reason) {
		if (this.unservedLogged) {
			return;
		}
		this.unservedLogged = true;
		if (this.head != null) {
			this.frontend.unserved().incomplete(this.head, bodyBytes(), reason);
		}
		this.readAhead.requests().forEach((request) -> this.frontend.unserved().dropped(request, reason));
		ResponseDelivery delivery = this.writer.delivery();
		String detail = delivery.failure().map(Throwable::toString).orElse(reason);
		CallerEnds.Cause ended = this.endCause.orElse(delivery.failure().isPresent() ? CallerEnds.Cause.FAILED : cause);
		delivery.unwritten((request, bytes) -> this.frontend.unserved().undelivered(request, bytes, ended, detail));
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		try {
			logUnserved(CallerEnds.Cause.CALLER_LEFT, "the connection was closed");
		}
		finally {
			ended();
		}
	}

	private void ended() {
		this.closing = true;
		this.frontend.closed(this);
		this.readAhead.clear();
		if (this.exchange != null) {
			DirectExchange ended = this.exchange;
			this.exchange = null;
			ended.callerDisconnected();
		}
		releaseBody();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (this.closing) {
			this.channel.close();
			return;
		}
		end(CallerEnds.Cause.FAILED, cause.toString());
	}

}

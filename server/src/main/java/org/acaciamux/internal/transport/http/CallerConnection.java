package org.acaciamux.internal.transport.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.routing.RequestService;
import org.acaciamux.internal.coordination.routing.RoutedRequest;

/**
 * One connection of a caller. Invariant: the router handles at most one request of the
 * connection at a time; pipelined requests wait, with reading paused. Confined to the
 * connection's event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Longest time, in milliseconds, that input is discarded after a refusal. Closing at
	 * once would reset the connection before the caller has read the answer.
	 */
	private static final long DISCARD_LIMIT_MS = 2_000;

	/**
	 * Time in milliseconds in which a connection may carry another request during a
	 * drain, if the last response announced before the drain that it stays open.
	 */
	private static final long KEPT_IN_DRAIN_MS = 500;

	/**
	 * Time in which an event loop selects and reads before it runs a task, in
	 * milliseconds: tasks with a delay run in the turn after that.
	 */
	private static final long READ_TURN_MS = 1;

	private final RequestParser parser = new RequestParser();

	private final Deque<HttpObject> pipelined = new ArrayDeque<>();

	private final HttpLimits limits;

	private final BodyBudget bodyBudget;

	private final RequestService service;

	private final BooleanSupplier draining;

	private ChannelHandlerContext context;

	private HttpRequest request;

	private ByteString.Output body;

	private CallerResponse response;

	private ScheduledFuture<?> timer;

	private long reservedBytes;

	private boolean readingRequest;

	private boolean discarding;

	CallerConnection(HttpLimits limits, BodyBudget bodyBudget, RequestService service, BooleanSupplier draining) {
		this.limits = limits;
		this.bodyBudget = bodyBudget;
		this.service = service;
		this.draining = draining;
	}

	/**
	 * Return a handler to be placed before the decoder. The handler starts the time limit
	 * at the first byte of a request rather than at the end of its headers.
	 * @return the handler
	 */
	ChannelInboundHandler requestStartHandler() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext ctx, Object message) {
				onBytesRead();
				ctx.fireChannelRead(message);
			}

		};
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context = ctx;
		awaitRequest();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		stopTimer();
		releaseBody();
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		this.discarding = true;
		if (this.response != null) {
			this.response.callerDisconnected();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.discarding) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.response != null) {
			this.pipelined.add((HttpObject) message);
			ctx.channel().config().setAutoRead(false);
			return;
		}
		accept((HttpObject) message);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event == Drain.NOW && this.response == null && !this.readingRequest && !this.discarding) {
			schedule(READ_TURN_MS, ctx::close);
		}
		if (event == Drain.LAST && this.response == null && this.request != null && !this.discarding) {
			refuse(FailureCode.DRAINING,
					"This router ends before the request was complete; send it again over a new " + "connection.");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	private void onBytesRead() {
		if (!this.readingRequest && !this.discarding) {
			this.readingRequest = true;
			if (this.response == null) {
				startTimer(this.limits.requestTimeoutMs(), this::requestTimedOut);
			}
		}
	}

	private void accept(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				malformed(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest head) {
				begin(head);
			}
			if (!this.discarding && message instanceof HttpContent content) {
				append(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void begin(HttpRequest head) {
		this.request = head;
		this.body = ByteString.newOutput();
		if (HttpUtil.getContentLength(head, 0L) > this.limits.maxBodyBytes()) {
			refuse(FailureCode.BODY_TOO_LARGE, bodyTooLarge());
			return;
		}
		if (HttpUtil.is100ContinueExpected(head) && this.draining.getAsBoolean()) {
			refuse(FailureCode.DRAINING, "This router is shutting down; send the request again over a new connection.");
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void append(HttpContent content) {
		ByteBuf bytes = content.content();
		if (this.body.size() + bytes.readableBytes() > this.limits.maxBodyBytes()) {
			refuse(FailureCode.BODY_TOO_LARGE, bodyTooLarge());
			return;
		}
		if (!this.bodyBudget.reserve(bytes.readableBytes())) {
			refuse(FailureCode.QUEUE_FULL, "This router holds " + this.limits.maxBufferedBytes()
					+ " bytes of request bodies already; send the request again after the delay.");
			return;
		}
		this.reservedBytes += bytes.readableBytes();
		byte[] copy = new byte[bytes.readableBytes()];
		bytes.readBytes(copy);
		this.body.write(copy, 0, copy.length);
		if (content instanceof LastHttpContent) {
			complete();
		}
	}

	private void complete() {
		stopTimer();
		this.readingRequest = false;
		Either<Failure, RoutedRequest> parsed = this.parser.parse(this.request, this.body.toByteString());
		this.body = null;
		this.response = new CallerResponse(this.context, this.request, this::isLast, this::responded);
		if (parsed.isLeft()) {
			this.response.fail(parsed.getLeft(), "");
			return;
		}
		this.response.started(this.service.route(parsed.get(), this.response));
	}

	/**
	 * Return whether the connection closes after the response: no other request follows
	 * during a drain. One that was read, even in part, gets an answer.
	 * @return whether a drain has begun and nothing of another request was read
	 */
	private boolean isLast() {
		return this.draining.getAsBoolean() && this.pipelined.isEmpty() && !this.readingRequest;
	}

	private void releaseBody() {
		this.bodyBudget.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

	private void responded(boolean keepAlive) {
		releaseBody();
		this.response = null;
		this.request = null;
		if (!keepAlive) {
			closeAfterDiscarding();
			return;
		}
		if (this.readingRequest || !this.pipelined.isEmpty()) {
			startTimer(this.limits.requestTimeoutMs(), this::requestTimedOut);
		}
		else {
			awaitRequest();
		}
		while (this.response == null && !this.discarding && !this.pipelined.isEmpty()) {
			accept(this.pipelined.poll());
		}
		if (this.pipelined.isEmpty()) {
			this.context.channel().config().setAutoRead(true);
		}
	}

	private void malformed(Throwable cause) {
		if (cause instanceof TooLongFrameException) {
			refuse(FailureCode.HEADERS_TOO_LARGE,
					"The request line is longer than " + this.limits.maxRequestLineBytes()
							+ " bytes or the headers are larger than " + this.limits.maxHeaderBytes()
							+ " bytes; shorten them.");
			return;
		}
		refuse(FailureCode.BAD_REQUEST, "The request is not valid HTTP/1.1; check its request line, headers and "
				+ "chunk sizes, for example 'Content-Length' given once as a whole number.");
	}

	private void requestTimedOut() {
		refuse(FailureCode.REQUEST_TIMEOUT, "The request was not complete after " + this.limits.requestTimeoutMs()
				+ " ms; send it again without pauses, over a new connection.");
	}

	private String bodyTooLarge() {
		return "The body is larger than " + this.limits.maxBodyBytes() + " bytes; send a smaller one.";
	}

	/**
	 * Answer a request that was not read to its end, and close the connection, because
	 * the start of the next request cannot be found. Without complete headers the outcome
	 * is unknown, because the request may carry an idempotency key.
	 * @param code the code
	 * @param detail what happened, why, and what to do next
	 */
	private void refuse(FailureCode code, String detail) {
		stopTimer();
		this.discarding = true;
		Failure failure = (this.request != null) ? RequestParser.refusal(this.request, code, detail)
				: Failure.unknown(code, detail, 0);
		this.response = new CallerResponse(this.context, null, this::isLast, this::responded);
		this.response.fail(failure, "");
	}

	private void closeAfterDiscarding() {
		this.discarding = true;
		stopTimer();
		this.context.channel().config().setAutoRead(true);
		if (this.context.channel() instanceof DuplexChannel duplex) {
			duplex.shutdownOutput();
		}
		startTimer(DISCARD_LIMIT_MS, this.context::close);
	}

	private void awaitRequest() {
		long limitMs = this.draining.getAsBoolean() ? Math.min(KEPT_IN_DRAIN_MS, this.limits.idleTimeoutMs())
				: this.limits.idleTimeoutMs();
		startTimer(limitMs, this.context::close);
	}

	/**
	 * Start a time limit. Bytes that arrive before its end count even if the event loop
	 * is late and has not read them: it reads once more before the action runs.
	 * @param delayMs the time in milliseconds
	 * @param action what to do at the end, unless the timer is stopped or started again
	 */
	private void startTimer(long delayMs, Runnable action) {
		schedule(delayMs, () -> schedule(READ_TURN_MS, action));
	}

	private void schedule(long delayMs, Runnable action) {
		stopTimer();
		this.timer = this.context.executor().schedule(action, delayMs, TimeUnit.MILLISECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	/**
	 * Event that asks a connection to close once nothing is in flight on it.
	 */
	enum Drain {

		/** The frontend has started to drain. */
		NOW,
		/** The process ends soon, so requests that are still arriving are refused. */
		LAST

	}

}

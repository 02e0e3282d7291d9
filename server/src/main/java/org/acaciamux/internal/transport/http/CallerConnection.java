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
 * One connection of a caller. Invariant: at most one request is with the router at a
 * time; what the caller sends ahead waits, with reading paused. Confined to the
 * connection's event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Longest time that input is discarded after a refusal, so that the caller can read
	 * the answer before a reset arrives.
	 */
	private static final long LINGER_MS = 2_000;

	private final RequestParser parser = new RequestParser();

	private final Deque<HttpObject> waiting = new ArrayDeque<>();

	private final HttpLimits limits;

	private final BodyBudget bodies;

	private final RequestService service;

	private final BooleanSupplier draining;

	private ChannelHandlerContext context;

	private HttpRequest request;

	private ByteString.Output body;

	private CallerResponse response;

	private ScheduledFuture<?> timer;

	private long buffered;

	private boolean reading;

	private boolean discarding;

	CallerConnection(HttpLimits limits, BodyBudget bodies, RequestService service, BooleanSupplier draining) {
		this.limits = limits;
		this.bodies = bodies;
		this.service = service;
		this.draining = draining;
	}

	/**
	 * Return a handler for the place before the decoder, which starts the time limit at
	 * the first byte of a request rather than at the end of its headers.
	 * @return the handler
	 */
	ChannelInboundHandler readActivity() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext ctx, Object message) {
				bytesRead();
				ctx.fireChannelRead(message);
			}

		};
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context = ctx;
		idle();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		stopTimer();
		releaseBody();
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		this.discarding = true;
		if (this.response != null) {
			this.response.callerGone();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.discarding) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.response != null) {
			this.waiting.add((HttpObject) message);
			ctx.channel().config().setAutoRead(false);
			return;
		}
		accept((HttpObject) message);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event == Drain.NOW && this.response == null && !this.reading) {
			ctx.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	private void bytesRead() {
		if (!this.reading && !this.discarding) {
			this.reading = true;
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
		if (!this.bodies.take(bytes.readableBytes())) {
			refuse(FailureCode.QUEUE_FULL, "This router holds " + this.limits.maxBufferedBytes()
					+ " bytes of request bodies already; send the request again after the delay.");
			return;
		}
		this.buffered += bytes.readableBytes();
		byte[] copy = new byte[bytes.readableBytes()];
		bytes.readBytes(copy);
		this.body.write(copy, 0, copy.length);
		if (content instanceof LastHttpContent) {
			complete();
		}
	}

	private void complete() {
		stopTimer();
		this.reading = false;
		Either<Failure, RoutedRequest> parsed = this.parser.parse(this.request, this.body.toByteString());
		this.body = null;
		this.response = new CallerResponse(this.context, this.request, this.draining, this::responded);
		if (parsed.isLeft()) {
			this.response.fail(parsed.getLeft(), "");
			return;
		}
		this.response.started(this.service.route(parsed.get(), this.response));
	}

	private void releaseBody() {
		this.bodies.give(this.buffered);
		this.buffered = 0;
	}

	private void responded(boolean keepAlive) {
		releaseBody();
		this.response = null;
		this.request = null;
		if (!keepAlive) {
			lingeringClose();
			return;
		}
		if (this.reading || !this.waiting.isEmpty()) {
			startTimer(this.limits.requestTimeoutMs(), this::requestTimedOut);
		}
		else {
			idle();
		}
		while (this.response == null && !this.discarding && !this.waiting.isEmpty()) {
			accept(this.waiting.poll());
		}
		if (this.waiting.isEmpty()) {
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
	 * is unknown, because nobody can tell whether the request carries a key.
	 * @param code the code
	 * @param detail what happened, why, and what to do next
	 */
	private void refuse(FailureCode code, String detail) {
		stopTimer();
		this.discarding = true;
		Failure failure = (this.request != null) ? RequestParser.refusal(this.request, code, detail)
				: Failure.unknown(code, detail, 0);
		this.response = new CallerResponse(this.context, null, this.draining, this::responded);
		this.response.fail(failure, "");
	}

	private void lingeringClose() {
		this.discarding = true;
		stopTimer();
		this.context.channel().config().setAutoRead(true);
		if (this.context.channel() instanceof DuplexChannel duplex) {
			duplex.shutdownOutput();
		}
		startTimer(LINGER_MS, this.context::close);
	}

	private void idle() {
		if (this.draining.getAsBoolean()) {
			this.context.close();
			return;
		}
		startTimer(this.limits.idleTimeoutMs(), this.context::close);
	}

	private void startTimer(long delayMs, Runnable action) {
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

		/** The front drains. */
		NOW

	}

}

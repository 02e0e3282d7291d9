package org.acaciamux.internal.transport.http;

import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.routing.ResponseSink;
import org.acaciamux.internal.coordination.routing.RoutedCall;
import org.acaciamux.internal.protocol.Headers;
import org.acaciamux.internal.protocol.Problem;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.ResponseHead;

/**
 * Writes one response to a caller. Invariants: bytes count as consumed only after they
 * were written to the socket; an incomplete response never looks complete to the caller.
 * The methods of {@link ResponseSink} may be called from any thread and are carried out
 * on the connection's event loop; everything else is confined to it.
 */
final class CallerResponse implements ResponseSink {

	private static final long UNKNOWN_LENGTH = -1;

	private final ChannelHandlerContext context;

	private final HttpRequest request;

	private final BooleanSupplier last;

	private final CompletionListener completionListener;

	private RoutedCall call;

	private boolean finished;

	private boolean keepAlive;

	private boolean bodiless;

	private boolean endsWithClose;

	private long remaining = UNKNOWN_LENGTH;

	/**
	 * Create a response.
	 * @param context the connection
	 * @param request the request, or null if the connection closes after the response
	 * @param last whether the connection closes after the response, asked when its head
	 * is written
	 * @param completionListener called when the response has been written
	 */
	CallerResponse(ChannelHandlerContext context, HttpRequest request, BooleanSupplier last,
			CompletionListener completionListener) {
		this.context = context;
		this.request = request;
		this.last = last;
		this.completionListener = completionListener;
	}

	void started(RoutedCall call) {
		this.call = call;
	}

	void callerDisconnected() {
		this.finished = true;
		if (this.call != null) {
			this.call.cancel();
		}
	}

	@Override
	public void head(ResponseHead head, String requestId) {
		runOnLoop(() -> writeHead(head, requestId));
	}

	@Override
	public void body(ByteString data) {
		runOnLoop(() -> writeBody(data));
	}

	@Override
	public void end() {
		runOnLoop(this::writeEnd);
	}

	@Override
	public void fail(Failure failure, String requestId) {
		runOnLoop(() -> writeProblem(failure, requestId));
	}

	@Override
	public void abort(Failure failure) {
		runOnLoop(this::closeIncomplete);
	}

	private void runOnLoop(Runnable step) {
		// Deferred even if this thread is the event loop: a step that ran at once would
		// overtake steps that other threads submitted earlier.
		this.context.executor().execute(() -> {
			if (!this.finished) {
				step.run();
			}
		});
	}

	private void writeHead(ResponseHead head, String requestId) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.getStatus()));
		try {
			copyHeaders(head, response);
		}
		catch (IllegalArgumentException ex) {
			this.call.cancel();
			writeProblem(
					Failure.unknown(FailureCode.PROTOCOL_ERROR,
							"The backend server's response has a header that "
									+ "is not valid HTTP and cannot be passed on; correct the backend server.",
							0),
					requestId);
			return;
		}
		response.headers().set(Headers.OUTCOME, Outcome.ANSWERED.headerValue());
		response.headers().set(Headers.REQUEST_ID, requestId);
		if (!head.getServer().isEmpty()) {
			response.headers().set(Headers.SERVER, head.getServer());
			response.headers().set(Headers.AFFINITY, head.getServer());
		}
		if (head.getReplayed()) {
			response.headers().set(Headers.REPLAYED, "true");
		}
		setFraming(response);
		this.context.writeAndFlush(response);
	}

	private void copyHeaders(ResponseHead head, HttpResponse response) {
		HopHeaders hop = HopHeaders.ofResponse(head.getHeadersList()
			.stream()
			.filter((header) -> header.getName().equalsIgnoreCase("connection"))
			.map(Header::getValue)
			.toList());
		for (Header header : head.getHeadersList()) {
			if (!hop.contains(header.getName())) {
				response.headers().add(header.getName(), header.getValue());
			}
		}
	}

	private void setFraming(HttpResponse response) {
		int status = response.status().code();
		boolean head = this.request.method().equals(HttpMethod.HEAD);
		this.bodiless = head || status == 204 || status == 304 || status < 200;
		this.keepAlive = HttpUtil.isKeepAlive(this.request) && !this.last.getAsBoolean();
		if (!this.bodiless && !hasLength(response)) {
			response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
			boolean chunks = this.request.protocolVersion().equals(HttpVersion.HTTP_1_1);
			HttpUtil.setTransferEncodingChunked(response, chunks);
			this.endsWithClose = !chunks;
			this.keepAlive = this.keepAlive && chunks;
		}
		if (this.endsWithClose) {
			ResetOnClose.enable(this.context.channel());
		}
		HttpUtil.setKeepAlive(response, this.keepAlive);
	}

	private boolean hasLength(HttpResponse response) {
		try {
			this.remaining = HttpUtil.getContentLength(response, UNKNOWN_LENGTH);
		}
		catch (NumberFormatException ex) {
			this.remaining = UNKNOWN_LENGTH;
		}
		return this.remaining >= 0;
	}

	private void writeBody(ByteString data) {
		if (this.bodiless) {
			this.call.consumed(data.size());
			return;
		}
		if (this.remaining != UNKNOWN_LENGTH && data.size() > this.remaining) {
			closeIncomplete();
			return;
		}
		if (this.remaining != UNKNOWN_LENGTH) {
			this.remaining -= data.size();
		}
		DefaultHttpContent content = new DefaultHttpContent(Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer()));
		this.context.writeAndFlush(content).addListener((future) -> {
			if (future.isSuccess()) {
				this.call.consumed(data.size());
			}
		});
	}

	private void writeEnd() {
		if (!this.bodiless && this.remaining > 0) {
			closeIncomplete();
			return;
		}
		this.finished = true;
		finish(this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
	}

	private void writeProblem(Failure failure, String requestId) {
		this.finished = true;
		this.keepAlive = this.request != null && HttpUtil.isKeepAlive(this.request) && !this.last.getAsBoolean();
		Problem problem = new Problem(failure, requestId);
		byte[] body = problem.body();
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(problem.status()), Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		response.headers().set(Headers.OUTCOME, failure.outcome().headerValue());
		if (!requestId.isEmpty()) {
			response.headers().set(Headers.REQUEST_ID, requestId);
		}
		if (failure.retryAfterMs() > 0) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, problem.retryAfterSeconds());
		}
		HttpUtil.setKeepAlive(response, this.keepAlive);
		finish(this.context.writeAndFlush(response));
	}

	private void finish(ChannelFuture written) {
		written.addListener((future) -> {
			if (future.isSuccess()) {
				if (this.endsWithClose) {
					ResetOnClose.disable(this.context.channel());
				}
				this.completionListener.responded(this.keepAlive);
			}
		});
	}

	private void closeIncomplete() {
		this.finished = true;
		if (this.call != null) {
			this.call.cancel();
		}
		this.context.close();
	}

	/**
	 * Notified when a response has been written.
	 */
	@FunctionalInterface
	interface CompletionListener {

		/**
		 * Called when the response has been written.
		 * @param keepAlive whether the connection can carry another request
		 */
		void responded(boolean keepAlive);

	}

}

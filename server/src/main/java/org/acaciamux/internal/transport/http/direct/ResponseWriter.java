package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;

import org.acaciamux.internal.transport.http.LingeringClose;
import org.acaciamux.internal.transport.http.ResetOnClose;

/**
 * Writes the responses of one caller's connection. Invariants: the last response
 * announces that the connection closes, which happens after it was written; a response
 * that has neither length nor chunks resets the connection unless it is complete.
 * Confined to the event loop.
 */
final class ResponseWriter {

	private final Channel channel;

	private final BooleanSupplier mayClose;

	private final ResponseDelivery delivery;

	/** The request that is answered, null between responses. */
	private HttpRequest request;

	private boolean keepAlive = true;

	private boolean supportsChunks;

	private boolean headRequested;

	/**
	 * Create a writer.
	 * @param channel the connection
	 * @param mayClose whether a response that begins now may be the last one
	 * @param now the monotonic time in nanoseconds
	 */
	ResponseWriter(Channel channel, BooleanSupplier mayClose, long now) {
		this.channel = channel;
		this.mayClose = mayClose;
		this.delivery = new ResponseDelivery(channel, now);
	}

	/**
	 * Set the request that is answered next.
	 * @param head its head
	 */
	void request(HttpRequest head) {
		this.request = head;
		this.keepAlive = HttpUtil.isKeepAlive(head);
		this.headRequested = head.method().equals(HttpMethod.HEAD);
		this.supportsChunks = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
	}

	/**
	 * Release the request that is answered, because the connection ends.
	 */
	void release() {
		this.request = null;
	}

	void requestBody() {
		this.channel.writeAndFlush(
				new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
	}

	/**
	 * Return whether the current request is a HEAD request, whose response has no body.
	 * @return whether it is
	 */
	boolean answersHead() {
		return this.headRequested;
	}

	ResponseDelivery delivery() {
		return this.delivery;
	}

	boolean writable() {
		return this.channel.isWritable();
	}

	/**
	 * Refuse a request that is not complete, and close the connection.
	 * @param refused its head, empty if it was not read
	 * @param status the status
	 * @param headers its headers, without framing
	 */
	void refuse(Optional<HttpRequest> refused, HttpResponseStatus status, HttpHeaders headers) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.EMPTY_BUFFER);
		response.headers().set(headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
		refused.map((head) -> this.delivery.writeEnd(response, 0, head))
			.orElseGet(() -> this.delivery.write(response, 0))
			.addListener((sent) -> LingeringClose.start(this.channel));
	}

	/**
	 * Send a complete response.
	 * @param status the status
	 * @param headers its headers, without framing
	 * @param content the body
	 * @return whether it is the last one
	 */
	boolean respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
		response.headers().set(headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		markIfLast(response);
		return finish(response, content.readableBytes());
	}

	/**
	 * Send the head of a response whose length is not known.
	 * @param status the status
	 * @param headers its headers, without framing
	 */
	void startStream(HttpResponseStatus status, HttpHeaders headers) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		if (this.supportsChunks) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		else {
			this.keepAlive = false;
			ResetOnClose.enable(this.channel);
		}
		markIfLast(response);
		this.channel.write(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
	}

	void data(ByteBuf data) {
		this.delivery.write(new DefaultHttpContent(data), data.readableBytes());
	}

	/**
	 * Complete the response.
	 * @return whether it is the last one
	 */
	boolean endStream() {
		return finish(LastHttpContent.EMPTY_LAST_CONTENT, 0);
	}

	private void markIfLast(HttpResponse response) {
		if (!this.keepAlive || this.mayClose.getAsBoolean()) {
			this.keepAlive = false;
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private boolean finish(HttpObject end, int bytes) {
		Optional<HttpRequest> answered = Optional.ofNullable(this.request);
		this.request = null;
		ChannelFuture write = answered.map((head) -> this.delivery.writeEnd(end, bytes, head))
			.orElseGet(() -> this.delivery.write(end, bytes));
		boolean last = !this.keepAlive;
		if (last) {
			write.addListener(this::closeOutput);
		}
		return last;
	}

	private void closeOutput(Future<? super Void> written) {
		if (written.isSuccess() && this.channel.isActive()) {
			ResetOnClose.disable(this.channel);
			LingeringClose.start(this.channel);
		}
	}

}

package org.acaciamux.internal.transport.http;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;

import org.acaciamux.Outcome;
import org.acaciamux.internal.protocol.Headers;

/**
 * Answers the first request of a connection that exceeds the limit with status 503 and
 * closes the connection. The outcome is {@code unknown}, because the request's
 * idempotency key is not read and an earlier attempt with the same key may have run. Used
 * by one event loop.
 */
final class TooManyConnectionsHandler extends ChannelInboundHandlerAdapter {

	private static final int RETRY_AFTER_SECONDS = 1;

	private boolean answered;

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		ReferenceCountUtil.release(message);
		if (this.answered) {
			return;
		}
		this.answered = true;
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.SERVICE_UNAVAILABLE);
		response.headers().setInt(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
		response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
		response.headers().set(Headers.OUTCOME, Outcome.UNKNOWN.headerValue());
		ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

}

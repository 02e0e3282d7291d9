package org.acaciamux.internal.transport.http.direct;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Builds the request to a backend server: method, path and body of the caller's request,
 * with a content length even if the caller's body was chunked. Holds no state.
 */
final class OutgoingRequest {

	private OutgoingRequest() {
	}

	static FullHttpRequest of(HttpRequest head, ByteBuf body, WireFormat format, WireFormat.Forwarding forwarding) {
		FullHttpRequest out = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(),
				body.retainedDuplicate(), OutgoingHeaders.FACTORY, OutgoingHeaders.FACTORY);
		format.forward(head.headers(), out.headers(), forwarding);
		if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			out.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		return out;
	}

}

package org.acaciamux.internal.transport.http.direct;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Factory for the headers of messages that the router writes. It does not validate,
 * because the values come from parsed messages. Holds no state.
 */
final class OutgoingHeaders {

	static final DefaultHttpHeadersFactory FACTORY = DefaultHttpHeadersFactory.headersFactory().withValidation(false);

	private static final double MS_PER_SECOND = 1000.0;

	private OutgoingHeaders() {
	}

	/**
	 * Create headers that tell a caller when to come back.
	 * @param ms the time until then in milliseconds
	 * @return the headers
	 */
	static HttpHeaders retryAfter(long ms) {
		return FACTORY.newHeaders().set(HttpHeaderNames.RETRY_AFTER, String.valueOf(ms / MS_PER_SECOND));
	}

}

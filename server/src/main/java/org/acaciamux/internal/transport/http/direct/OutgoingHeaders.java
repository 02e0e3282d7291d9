package org.acaciamux.internal.transport.http.direct;

import java.util.concurrent.ThreadLocalRandom;

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

	/**
	 * Shortest time, in milliseconds, after which a caller whose body was refused may
	 * come back.
	 */
	private static final long MIN_RETRY_AFTER_MS = 500;

	/** Longest such time; the callers of a burst come back at different times. */
	private static final long MAX_RETRY_AFTER_MS = 1_500;

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

	static HttpHeaders spreadRetryAfter() {
		return retryAfter(ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS));
	}

}

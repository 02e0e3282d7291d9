package org.acaciamux.internal.transport.http.direct;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;

/**
 * Factory for the headers of messages that the router writes. It does not validate,
 * because the values come from parsed messages. Holds no state.
 */
final class OutgoingHeaders {

	static final DefaultHttpHeadersFactory FACTORY = DefaultHttpHeadersFactory.headersFactory().withValidation(false);

	private OutgoingHeaders() {
	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a backend server. A server may send more responses than it was
 * sent requests, so the n-th response need not answer the n-th request. Invariant: only
 * the response to a HEAD request is read without the body that its head states. Confined
 * to the event loop.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {

	private final Predicate<HttpResponse> answersHead;

	/**
	 * Create a decoder.
	 * @param answersHead whether a response is the one to a HEAD request
	 */
	ServerResponseDecoder(Predicate<HttpResponse> answersHead) {
		this.answersHead = answersHead;
	}

	/**
	 * Return whether bytes were read that are not decoded yet.
	 * @return whether a part of a message has arrived
	 */
	boolean hasInput() {
		return actualReadableBytes() > 0;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return super.isContentAlwaysEmpty(message)
				|| message instanceof HttpResponse response && this.answersHead.test(response);
	}

}

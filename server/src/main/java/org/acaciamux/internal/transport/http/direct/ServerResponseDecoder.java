package org.acaciamux.internal.transport.http.direct;

import java.util.function.Predicate;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

import org.acaciamux.internal.transport.http.response.StatusLine;

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

	// The base class takes 0200 and +200 for 200, and any protocol for HTTP.
	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		StatusLine.malformed(initialLine[0], initialLine[1]).ifPresent((reason) -> {
			throw new IllegalArgumentException(reason);
		});
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		// The base class removes the transfer coding of a response without content.
		if (message instanceof HttpResponse response && response.status().equals(HttpResponseStatus.NO_CONTENT)
				&& HttpUtil.isTransferEncodingChunked(response)) {
			response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("a 204 has a body")));
		}
		return super.isContentAlwaysEmpty(message)
				|| message instanceof HttpResponse response && this.answersHead.test(response);
	}

}

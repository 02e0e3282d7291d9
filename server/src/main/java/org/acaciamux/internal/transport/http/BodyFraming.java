package org.acaciamux.internal.transport.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/**
 * How the end of the body of a response is marked. Immutable and thread-safe.
 */
public enum BodyFraming {

	/** The response has no body, whatever its headers say. */
	NONE,

	/** The head states the length of the body. */
	LENGTH,

	/** The last chunk ends the body. */
	CHUNKS,

	/** The end of the connection ends the body. */
	CONNECTION;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	/**
	 * Return the framing of a response.
	 * @param method the method of the request
	 * @param response the head of the response
	 * @return the framing of its body
	 */
	public static BodyFraming of(HttpMethod method, HttpResponse response) {
		int status = response.status().code();
		if (method.equals(HttpMethod.HEAD) || status == NO_CONTENT || status == NOT_MODIFIED
				|| response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return NONE;
		}
		if (HttpUtil.isTransferEncodingChunked(response)) {
			return CHUNKS;
		}
		return HttpUtil.isContentLengthSet(response) ? LENGTH : CONNECTION;
	}

}

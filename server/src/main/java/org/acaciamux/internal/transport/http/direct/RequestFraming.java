package org.acaciamux.internal.transport.http.direct;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Rejects requests whose end is ambiguous, because such a request could smuggle a second
 * one past the router. Holds no state.
 */
final class RequestFraming {

	private RequestFraming() {
	}

	/**
	 * Check the framing of a request.
	 * @param request the head of the request
	 * @return the problem, empty if the framing is unambiguous
	 */
	static Optional<String> problem(HttpRequest request) {
		HttpHeaders headers = request.headers();
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
			return Optional.of("the request must have exactly one Host header");
		}
		if (!codings.isEmpty() && !lengths.isEmpty()) {
			return Optional.of("the request has both Content-Length and Transfer-Encoding");
		}
		if (lengths.size() > 1 || !lengths.stream().allMatch(RequestFraming::digits)) {
			return Optional.of("the Content-Length is not a single number");
		}
		if (codings.size() > 1 || !codings.stream().allMatch((coding) -> coding.trim().equalsIgnoreCase("chunked"))) {
			return Optional.of("the only transfer encoding accepted is chunked");
		}
		if (!codings.isEmpty() && request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
			return Optional.of("HTTP/1.0 does not support transfer encodings");
		}
		return Optional.empty();
	}

	private static boolean digits(String text) {
		return !text.isEmpty() && text.chars().allMatch((c) -> c >= '0' && c <= '9');
	}

}

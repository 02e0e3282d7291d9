package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

import org.acaciamux.internal.transport.http.ResponseEnd;

/**
 * The responses that a connection skips before the one to its current request: interim
 * ones, and late ones to earlier requests. Invariant: their number and their bytes are
 * bounded. Confined to the event loop.
 */
final class SkippedResponses {

	private static final int MAX_RESPONSES = 16;

	private static final int MAX_BYTES = 1_048_576;

	private boolean inProgress;

	private int responses;

	private int bytes;

	/**
	 * Return whether the end of a skipped response has not arrived.
	 * @return whether the next content belongs to it
	 */
	boolean inProgress() {
		return this.inProgress;
	}

	/**
	 * Skip a response.
	 * @param response its head
	 * @return why the response to the current request cannot follow, empty if it can
	 */
	Optional<String> head(HttpResponse response) {
		this.inProgress = true;
		Optional<String> last = ResponseEnd.lastOnConnection(response);
		if (last.isPresent()) {
			return last;
		}
		return (++this.responses > MAX_RESPONSES)
				? Optional.of(this.responses + " responses came before the one to the request") : Optional.empty();
	}

	/**
	 * Skip a part of the body.
	 * @param content the part
	 * @return why the response to the current request cannot follow, empty if it can
	 */
	Optional<String> content(HttpContent content) {
		this.inProgress = !(content instanceof LastHttpContent);
		this.bytes += content.content().readableBytes();
		return (this.bytes > MAX_BYTES) ? Optional.of("a response that is not the one to the request does not end")
				: Optional.empty();
	}

}

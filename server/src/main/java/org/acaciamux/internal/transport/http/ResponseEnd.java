package org.acaciamux.internal.transport.http;

import java.util.Locale;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

import org.acaciamux.internal.transport.http.response.StatusLine;

/**
 * Checks, at the end of a response, whether its body is whole: the decoder reports an end
 * even if a server broke off and closed the connection that was to end the response.
 * Holds the state of one response. Not thread-safe.
 */
public final class ResponseEnd {

	private static final int FIRST_ERROR_STATUS = 300;

	private final EventBoundary boundary = new EventBoundary();

	private final BodyFraming framing;

	private final boolean eventStream;

	private ResponseEnd(BodyFraming framing, boolean eventStream) {
		this.framing = framing;
		this.eventStream = eventStream;
	}

	/**
	 * Create the check of a response.
	 * @param method the method of the request
	 * @param head the head of the response
	 * @param eventsExpected whether a success without a content type is a stream of
	 * server-sent events
	 * @return the check
	 */
	public static ResponseEnd of(HttpMethod method, HttpResponse head, boolean eventsExpected) {
		String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
		boolean events = (type != null)
				? type.trim().toLowerCase(Locale.ROOT).startsWith(HttpHeaderValues.TEXT_EVENT_STREAM.toString())
				: eventsExpected;
		return new ResponseEnd(BodyFraming.of(method, head), events && head.status().code() < FIRST_ERROR_STATUS);
	}

	/**
	 * Check whether the response can be read: a status outside 100 to 599 has no meaning,
	 * a 204 with a body contradicts itself, and a coding other than chunks changes the
	 * bytes of the body and may hide where it ends.
	 * @param head the head of the response
	 * @return why it cannot, empty if it can
	 */
	public static Optional<String> unreadable(HttpResponse head) {
		Optional<String> malformed = StatusLine.malformed(head.protocolVersion().text(),
				head.status().codeAsText().toString());
		if (malformed.isPresent()) {
			return malformed;
		}
		if (head.status().equals(HttpResponseStatus.NO_CONTENT) && statesBody(head)) {
			return Optional.of("the response has the status 204 and a body");
		}
		return head.headers()
			.getAll(HttpHeaderNames.TRANSFER_ENCODING)
			.stream()
			.filter((coding) -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.trim()))
			.findFirst()
			.map((coding) -> "the response has the transfer coding " + coding);
	}

	private static boolean statesBody(HttpResponse head) {
		return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0) > 0;
	}

	/**
	 * Check whether another response can follow a response on its connection.
	 * @param head the head of the response, whose request is not known
	 * @return why none can, empty if one can
	 */
	public static Optional<String> lastOnConnection(HttpResponse head) {
		if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			return Optional.of("the server switched protocols");
		}
		boolean interim = HttpStatusClass.INFORMATIONAL.contains(head.status().code());
		if (!interim && !HttpUtil.isKeepAlive(head)) {
			return Optional.of("the server closes the connection after a response to another request");
		}
		return (BodyFraming.of(HttpMethod.GET, head) == BodyFraming.CONNECTION)
				? Optional.of("a response to another request ends only with the connection") : unreadable(head);
	}

	/**
	 * Record the next bytes of the body.
	 * @param data the bytes, which are not consumed
	 */
	public void data(ByteBuf data) {
		if (this.eventStream) {
			this.boundary.append(data);
		}
	}

	/**
	 * Return whether the end of the connection is the only mark of the end of the body.
	 * @return whether the response ends with its connection
	 */
	public boolean withConnection() {
		return this.framing == BodyFraming.CONNECTION;
	}

	/**
	 * Check whether the body that has ended is whole.
	 * @return why it is not, empty if nothing shows that a part is missing
	 */
	public Optional<String> truncation() {
		if (this.eventStream && this.boundary.insideEvent()) {
			return Optional.of("the response ended inside an event");
		}
		if (this.eventStream && withConnection() && !this.boundary.eventSeen()) {
			return Optional.of("the connection was closed before the first event");
		}
		return Optional.empty();
	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

import org.acaciamux.internal.event.LogText;

/**
 * Logs and counts the requests that end before they are served, and the responses that
 * are complete but not written when their connection ends. Invariant: each request whose
 * head was read and that does not end with the line of an exchange leaves one line with
 * its attempt id; those that follow the announced end of their connection are limited.
 * Confined to the event loop.
 */
final class UnservedRequests {

	private final LineLimit lateLines;

	private final DirectContext context;

	UnservedRequests(DirectContext context) {
		this.context = context;
		this.lateLines = new LineLimit("request-dropped", context.log());
	}

	void tick() {
		this.lateLines.tick(this.context.now());
	}

	/**
	 * Record a request that is refused before it is complete.
	 * @param head its head, empty if it was not read
	 * @param status the status of the response
	 * @param reason the details
	 */
	void refused(Optional<HttpRequest> head, int status, String reason) {
		line("request-invalid", head.map(this::attemptId).orElse(LogText.UNKNOWN), " status=" + status, reason);
	}

	/**
	 * Record a request whose connection ends before its body is complete.
	 * @param head its head
	 * @param bytes bytes of the body that have arrived
	 * @param reason the details
	 */
	void incomplete(HttpRequest head, int bytes, String reason) {
		this.context.metrics().requestUnserved();
		line("request-incomplete", attemptId(head), " bytes=" + bytes, reason);
	}

	/**
	 * Record a request that was read behind another one and is not served.
	 * @param head its head
	 * @param reason the details
	 */
	void dropped(HttpRequest head, String reason) {
		this.context.metrics().requestUnserved();
		line("request-dropped", attemptId(head), "", reason);
	}

	/**
	 * Record a complete response that is not written when its connection ends.
	 * @param head the head of its request
	 * @param bytes bytes of its body in the writes that are not complete
	 * @param cause why the connection ends
	 * @param reason the details
	 */
	void undelivered(HttpRequest head, int bytes, CallerEnds.Cause cause, String reason) {
		this.context.metrics().responseUndelivered();
		line("response-undelivered", attemptId(head), " unwrittenBytes=" + bytes + " cause=" + cause.label(), reason);
	}

	/**
	 * Discard what arrives on a connection after its last response was announced.
	 * @param message the message, which is released
	 */
	void discard(Object message) {
		try {
			if (message instanceof HttpRequest head) {
				late(head);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void late(HttpRequest head) {
		this.context.metrics().requestUnserved();
		if (this.lateLines.tryLine(this.context.now())) {
			line("request-dropped", attemptId(head), "", "it follows the last response of its connection");
		}
	}

	private String attemptId(HttpRequest head) {
		return this.context.format().attemptId(head).map(LogText::id).orElse(LogText.UNKNOWN);
	}

	private void line(String event, String request, String detail, String reason) {
		this.context.log()
			.line("event=" + event + " request=" + request + detail + " reason=" + LogText.quoted(reason));
	}

}

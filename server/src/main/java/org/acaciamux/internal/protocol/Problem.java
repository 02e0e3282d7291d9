package org.acaciamux.internal.protocol;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.Failure;

/**
 * A problem details body as in RFC 9457, with the additional members {@code code},
 * {@code outcome}, {@code retryAfterMs} and {@code requestId}. Immutable and thread-safe.
 *
 * @param failure the failure
 * @param requestId the id of the request, empty if it has none
 */
public record Problem(Failure failure, String requestId) {

	/** Media type of the body. */
	public static final String MEDIA_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:acaciamux:problem:";

	/**
	 * Return the HTTP status.
	 * @return the status, 400 to 599
	 */
	public int status() {
		return this.failure.code().httpStatus();
	}

	/**
	 * Return the body.
	 * @return the JSON text in UTF-8
	 */
	public byte[] body() {
		String code = this.failure.code().code();
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.put("type", TYPE_PREFIX + code);
		body.put("title", title(code));
		body.put("status", status());
		body.put("detail", this.failure.detail());
		body.put("code", code);
		body.put("outcome", this.failure.outcome().headerValue());
		body.put("retryAfterMs", this.failure.retryAfterMs());
		body.put("requestId", this.requestId);
		return body.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Return the value of the header {@code Retry-After}.
	 * @return the delay in whole seconds, rounded up, or 0 if a retry does not help
	 */
	public long retryAfterSeconds() {
		return (this.failure.retryAfterMs() + 999) / 1000;
	}

	private static String title(String code) {
		return Character.toUpperCase(code.charAt(0)) + code.substring(1).replace('-', ' ');
	}

}

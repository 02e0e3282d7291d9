package org.acaciamux;

import java.util.Arrays;
import java.util.Optional;

/**
 * Stable codes of failures that callers and peers see, each with the HTTP status it maps
 * to. Codes are never renamed or reused. Immutable and thread-safe.
 */
public enum FailureCode {

	/** The request is malformed. */
	BAD_REQUEST("bad-request", 400),
	/** No pool of that name is in force. */
	UNKNOWN_POOL("unknown-pool", 404),
	/** The body is larger than the limit. */
	BODY_TOO_LARGE("body-too-large", 413),
	/** The header section is larger than the limit. */
	HEADERS_TOO_LARGE("headers-too-large", 431),
	/** The caller did not send the whole request in time. */
	REQUEST_TIMEOUT("request-timeout", 408),
	/** The pool needs an idempotency key and the request has none. */
	KEY_REQUIRED("key-required", 400),
	/** The idempotency key is not a UUID version 7. */
	KEY_INVALID("key-invalid", 400),
	/** The idempotency key is older than the retention or in the future. */
	KEY_EXPIRED("key-expired", 409),
	/** The key was used with another method, path or body. */
	KEY_REUSED("key-reused", 422),
	/** A call with this key was refused earlier and never runs; use a new key. */
	KEY_REFUSED("key-refused", 409),
	/** An earlier attempt with this key was claimed and its outcome is not known. */
	OUTCOME_UNKNOWN("outcome-unknown", 409),
	/** The key's partition currently has no owner that can claim the key. */
	CLAIMS_UNAVAILABLE("claims-unavailable", 503),
	/** The agent does not own the key's partition. */
	NOT_OWNER("not-owner", 503),
	/** The load bound is reached. */
	LOAD_BOUND("load-bound", 503),
	/** The queue is full or the organisation's share of it is used up. */
	QUEUE_FULL("queue-full", 503),
	/** The deadline passed before the call ran. */
	DEADLINE_EXCEEDED("deadline-exceeded", 504),
	/** The backend server is leaving its pool and accepts no new requests. */
	DRAINING("draining", 503),
	/** The backend server does not accept connections. */
	BACKEND_DOWN("backend-down", 503),
	/** The backend server ended its response prematurely. */
	BACKEND_FAILED("backend-failed", 502),
	/** The agent could not be reached. */
	AGENT_UNREACHABLE("agent-unreachable", 503),
	/** The connection to the agent was lost and the request could not be resolved. */
	AGENT_LOST("agent-lost", 502),
	/** No member of the pool accepts requests. */
	NO_BACKEND("no-backend", 503),
	/** The request was in flight during repeated crashes of backend servers. */
	REQUEST_QUARANTINED("request-quarantined", 422),
	/**
	 * The request was in flight during a crash of a backend server and must first run
	 * alone.
	 */
	REQUEST_SUSPECT("request-suspect", 503),
	/** The process is not ready. */
	NOT_READY("not-ready", 503),
	/** The caller disconnected or stopped reading the response. */
	CANCELLED("cancelled", 499),
	/** The response made no progress within the limit. */
	NO_PROGRESS("no-progress", 504),
	/** The peer violated the protocol between processes. */
	PROTOCOL_ERROR("protocol-error", 502),
	/** The handshake found no common protocol version. */
	VERSION_MISMATCH("version-mismatch", 502),
	/** The platform did not answer or is in an outage. */
	PLATFORM_UNAVAILABLE("platform-unavailable", 503),
	/** A conditional update failed because another writer changed the object. */
	CONFLICT("conflict", 409),
	/** The object does not exist. */
	NOT_FOUND("not-found", 404),
	/** A record or a settings file is invalid. */
	INVALID("invalid", 422);

	private final String code;

	private final int httpStatus;

	FailureCode(String code, int httpStatus) {
		this.code = code;
		this.httpStatus = httpStatus;
	}

	/**
	 * Return the stable text of this code.
	 * @return the code in lower case with hyphens
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Return the HTTP status that callers get.
	 * @return the status, 400 to 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Find the code with the given text.
	 * @param code the stable text
	 * @return the code, or empty if this version does not know it
	 */
	public static Optional<FailureCode> of(String code) {
		return Arrays.stream(values()).filter((value) -> value.code.equals(code)).findFirst();
	}

}

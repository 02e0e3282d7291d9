package org.acaciamux.internal.coordination.direct;

import java.util.Optional;

/**
 * Decides whether the response of a backend server may be passed on. Servers may shed
 * requests, fail or return invalid responses: a caller gets either the server's own
 * complete response or a failure response of the router, never a mixture. Holds no state.
 */
public final class ResponsePolicy {

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int MISDIRECTED = 421;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private ResponsePolicy() {
	}

	/**
	 * Check the head of a response.
	 * @param status the HTTP status of the response
	 * @param notRun whether the server states that it did not run the request
	 * @param own whether the response is signed by the server and its body is unchanged
	 * @param repeatable whether the request may run again
	 * @param started whether the caller has received a part of an earlier response
	 * @return the result of the send if the response is not passed on, otherwise empty
	 */
	public static Optional<SendResult> unusable(int status, boolean notRun, boolean own, boolean repeatable,
			boolean started) {
		boolean success = status >= OK && status < MULTIPLE_CHOICES;
		if (success) {
			// A success that states that the request did not run contradicts itself.
			return (own && !notRun) ? Optional.empty() : Optional.of(SendResult.BROKEN);
		}
		if (notRun || status == MISDIRECTED) {
			return Optional.of(SendResult.REJECTED);
		}
		boolean tryElsewhere = status >= SERVER_ERROR && repeatable;
		// These statuses would tell the caller, without proof, that the request has not
		// run.
		boolean unproved = status == REQUEST_TIMEOUT || status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
		return (tryElsewhere || unproved || started) ? Optional.of(SendResult.SERVER_ERROR) : Optional.empty();
	}

	/**
	 * Return whether a status reports a failure of the server.
	 * @param status the status
	 * @return whether the server failed
	 */
	public static boolean failure(int status) {
		return status >= SERVER_ERROR;
	}

}

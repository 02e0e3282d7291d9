package org.acaciamux.internal.protocol;

/**
 * Names of the HTTP headers that callers and backend servers see. Holds constants only.
 */
public final class Headers {

	/** Identity of the chat, 1 to 128 visible ASCII characters. */
	public static final String CHAT = "Acaciamux-Chat";

	/** Name of the organisation. */
	public static final String ORGANISATION = "Acaciamux-Organisation";

	/** Name of the priority. */
	public static final String PRIORITY = "Acaciamux-Priority";

	/** Time until the caller's deadline, in milliseconds, 1 to 3,600,000. */
	public static final String DEADLINE_MS = "Acaciamux-Deadline-Ms";

	/**
	 * Token that hints at the server that holds the chat's context; returned with each
	 * response.
	 */
	public static final String AFFINITY = "Acaciamux-Affinity";

	/** Number of this attempt with the same idempotency key, starting at 1. */
	public static final String ATTEMPT = "Acaciamux-Attempt";

	/** Idempotency key of a call that must not run twice, a UUID version 7. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** What is known about the execution of the call. */
	public static final String OUTCOME = "Acaciamux-Outcome";

	/** Id of the request, for support and logs. */
	public static final String REQUEST_ID = "Acaciamux-Request-Id";

	/** Id of the VM whose backend server ran the request. */
	public static final String SERVER = "Acaciamux-Server";

	/**
	 * {@code true} if the response is the stored one of an earlier run with the same key.
	 */
	public static final String REPLAYED = "Acaciamux-Replayed";

	private Headers() {
	}

}

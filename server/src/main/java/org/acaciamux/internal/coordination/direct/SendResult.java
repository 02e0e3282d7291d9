package org.acaciamux.internal.coordination.direct;

/**
 * How one send of a request to a backend server ended without a usable response.
 * Immutable and thread-safe.
 */
public enum SendResult {

	/** No byte was sent. */
	NOT_SENT(true, false),

	/** The server stated that it did not run the request. */
	REJECTED(true, true),

	/** The server ran the request and reported a failure of its own. */
	SERVER_ERROR(false, true),

	/** The connection broke, or the response was malformed. */
	BROKEN(false, true),

	/**
	 * A response arrived that does not tell which request it answers and may be the one
	 * to this request.
	 */
	UNATTRIBUTED(false, true),

	/** No bytes arrived in time. */
	SILENT(false, true);

	private final boolean notRun;

	private final boolean arrived;

	SendResult(boolean notRun, boolean arrived) {
		this.notRun = notRun;
		this.arrived = arrived;
	}

	/**
	 * Return whether it is certain that the request did not run there and never will.
	 * @return whether it did not run
	 */
	public boolean notRun() {
		return this.notRun;
	}

	/**
	 * Return whether the send counts as an arrival at the service.
	 * @return whether bytes were sent
	 */
	public boolean arrived() {
		return this.arrived;
	}

}

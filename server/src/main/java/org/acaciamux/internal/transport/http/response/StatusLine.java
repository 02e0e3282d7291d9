package org.acaciamux.internal.transport.http.response;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks the status lines of servers' responses. Answers the load pattern of servers that
 * send a status that has no meaning, or bytes that belong to no response. Holds no state;
 * thread-safe.
 */
public final class StatusLine {

	private static final int FIRST_STATUS = 100;

	private static final int LAST_STATUS = 599;

	private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

	private static final Pattern STATUS = Pattern.compile("[0-9]{3}");

	private StatusLine() {
	}

	/**
	 * Check a status line as it was received. The reason phrase may be missing.
	 * @param version the version
	 * @param status the status
	 * @return why the line is malformed, empty if it is valid
	 */
	public static Optional<String> malformed(String version, String status) {
		if (!VERSION.matcher(version).matches()) {
			return Optional.of("the response has a version other than HTTP/1");
		}
		if (!STATUS.matcher(status).matches()) {
			return Optional.of("the response has a status that is not three digits");
		}
		int code = Integer.parseInt(status);
		return (code < FIRST_STATUS || code > LAST_STATUS) ? Optional.of("the response has the status " + status)
				: Optional.empty();
	}

}

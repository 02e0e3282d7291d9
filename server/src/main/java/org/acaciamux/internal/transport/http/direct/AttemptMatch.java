package org.acaciamux.internal.transport.http.direct;

import java.util.Locale;
import java.util.Optional;

/**
 * How the attempt id of a response relates to the request that was sent last on its
 * connection. Immutable.
 */
enum AttemptMatch {

	/** The response answers that request. */
	SAME,

	/** The response answers another request. */
	OTHER,

	/** The response does not tell which request it answers. */
	MISSING;

	/**
	 * Compare the attempt id of a response with the one that was sent.
	 * @param answered the attempt id of the response
	 * @param sent the attempt id of the request
	 * @return how they relate
	 */
	static AttemptMatch of(Optional<String> answered, String sent) {
		return answered.map((id) -> id.equals(sent) ? SAME : OTHER).orElse(MISSING);
	}

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}

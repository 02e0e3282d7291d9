package org.acaciamux.internal.transport.http.direct;

import java.util.Locale;

/**
 * Which of the requests on its connection a response answers, by its attempt id.
 * Immutable.
 */
enum AttemptMatch {

	/** The request that was sent last. */
	SAME,

	/** A request that was sent before it. */
	EARLIER,

	/** None that is known to have been sent on the connection. */
	OTHER,

	/** The response does not tell. */
	MISSING;

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}

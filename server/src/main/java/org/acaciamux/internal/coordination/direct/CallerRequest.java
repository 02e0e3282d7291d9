package org.acaciamux.internal.coordination.direct;

import java.util.List;
import java.util.Optional;

/**
 * A caller's request as described by its headers. Immutable and thread-safe.
 *
 * @param attemptId identifies this attempt of the caller
 * @param host the host in lower case, without a port
 * @param uri path and query
 * @param waitMs how long the caller waits, in milliseconds, at least 0
 * @param key the caller's key
 * @param prompt the parts of the prompt in order; the last belongs to the request alone;
 * empty for requests to plain services
 * @param promptTokens tokens of the whole prompt, 0 if not known
 * @param maxOutputTokens largest number of tokens that the caller wants, 0 if not known
 */
public record CallerRequest(String attemptId, String host, String uri, long waitMs, Optional<String> key,
		List<PromptPart> prompt, int promptTokens, int maxOutputTokens) {

	/**
	 * Return the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.uri.indexOf('?');
		return (query < 0) ? this.uri : this.uri.substring(0, query);
	}

}

package org.acaciamux.internal.coordination.routing;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;

import org.acaciamux.Outcome;
import org.acaciamux.internal.protocol.wire.Header;

/**
 * A caller's request after its headers were checked. Immutable and thread-safe.
 *
 * @param pool the name of the pool
 * @param method the HTTP method in upper case
 * @param path the path after the pool's name with its query, starting with a slash
 * @param headers the headers that pass through to the backend server
 * @param body the whole body
 * @param chat the identity of the chat
 * @param organisation the name of the organisation
 * @param priority the name of the priority
 * @param deadlineMs time until the caller gives up in milliseconds, 1 to 3,600,000
 * @param affinity the id of the server named in the caller's affinity token
 * @param attempt the number of this attempt, at least 1, or 0 if the caller gave none
 * @param key the idempotency key as the caller gave it
 */
public record RoutedRequest(String pool, String method, String path, List<Header> headers, ByteString body,
		Optional<String> chat, String organisation, String priority, long deadlineMs, Optional<String> affinity,
		int attempt, Optional<String> key) {

	public RoutedRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Return whether the method may change state at the backend server.
	 * @return whether the method is neither GET nor HEAD nor OPTIONS
	 */
	public boolean unsafe() {
		return !this.method.equals("GET") && !this.method.equals("HEAD") && !this.method.equals("OPTIONS");
	}

	/**
	 * Return the outcome of a refusal when this attempt was never sent.
	 * @return see {@link #outcomeIfNeverSent(boolean, int)}
	 */
	public Outcome outcomeIfNeverSent() {
		return outcomeIfNeverSent(this.key.isPresent(), this.attempt);
	}

	/**
	 * Return the outcome of a refusal when this attempt was never sent. An earlier
	 * attempt with the same key may have run or may still be in transit, so a request
	 * with a key is proved not run only if the caller marked it as the first attempt.
	 * @param keyed whether the request has an idempotency key
	 * @param attempt the number of the attempt, 0 if unknown
	 * @return {@code not-run} if that is proved, {@code unknown} otherwise
	 */
	public static Outcome outcomeIfNeverSent(boolean keyed, int attempt) {
		return (!keyed || attempt == 1) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

}

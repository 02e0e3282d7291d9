package org.acaciamux.internal.transport.http;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AttributeKey;

import org.acaciamux.internal.protocol.Headers;

/**
 * The requests that a connection to the backend server has carried, and whether a
 * response on it is the one to the last of them. Invariants: an id is carried at most
 * once; a response without an id counts as the one to the last request only if there was
 * no other request. Confined to the connection's event loop.
 */
final class CarriedRequests {

	/** Bounds the ids that are kept for a connection. */
	static final int MAX_REQUESTS = 100;

	private static final AttributeKey<CarriedRequests> KEY = AttributeKey.valueOf(CarriedRequests.class, "carried");

	private final Set<String> ids = new HashSet<>();

	private String last = "";

	/**
	 * Return the requests of a connection.
	 * @param channel the connection
	 * @return its requests
	 */
	static CarriedRequests of(Channel channel) {
		channel.attr(KEY).setIfAbsent(new CarriedRequests());
		return channel.attr(KEY).get();
	}

	/**
	 * Return whether the connection may carry a request: responses to it can be told from
	 * those to the earlier ones.
	 * @param requestId the id of the request
	 * @return whether it may
	 */
	boolean accepts(String requestId) {
		return this.ids.size() < MAX_REQUESTS && !this.ids.contains(requestId);
	}

	/**
	 * Record that a request is sent.
	 * @param requestId its id, which {@link #accepts} allows
	 */
	void send(String requestId) {
		this.ids.add(requestId);
		this.last = requestId;
	}

	/**
	 * Return the id of the last request.
	 * @return the id, empty if there was no request
	 */
	String last() {
		return this.last;
	}

	/**
	 * Return whether a response names the last request, and no other one.
	 * @param response the head of the response
	 * @return whether it does
	 */
	boolean namesLast(HttpResponse response) {
		List<String> named = response.headers().getAll(Headers.REQUEST_ID);
		return !named.isEmpty() && named.stream().allMatch(this.last::equals);
	}

	/**
	 * Check whether a final response is the one to the last request.
	 * @param response the head of the response
	 * @return why it may be the one to another request, empty if it is that to the last
	 */
	Optional<String> unattributed(HttpResponse response) {
		if (namesLast(response)) {
			return Optional.empty();
		}
		List<String> named = response.headers().getAll(Headers.REQUEST_ID);
		if (!named.isEmpty()) {
			return Optional.of("it names request " + String.join(", ", named));
		}
		return (this.ids.size() == 1) ? Optional.empty()
				: Optional.of("it names no request, on a connection whose earlier responses named theirs");
	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Messages of one caller that were read while an earlier request is served. Invariant:
 * their bytes count in the budget of all requests. Confined to the event loop.
 */
final class ReadAhead {

	private static final int MAX_MESSAGES = 64;

	/** Limit for one connection, in bytes: four headers of the largest default size. */
	private static final int MAX_BYTES = 65_536;

	/** Heap of the objects of a message and of a field. */
	private static final int MESSAGE_BYTES = 256;

	private static final int FIELD_BYTES = 160;

	private final Deque<HttpObject> messages = new ArrayDeque<>();

	private final BodyBudget budget;

	private int bytes;

	private int objectBytes;

	ReadAhead(BodyBudget budget) {
		this.budget = budget;
	}

	void add(HttpObject message) {
		this.messages.add(message);
		this.objectBytes += objectBytes(message);
		count(bytes(message));
	}

	/**
	 * Return the next message.
	 * @return the message, which the caller of this method must release; null if there is
	 * none
	 */
	HttpObject poll() {
		HttpObject message = this.messages.poll();
		if (message != null) {
			this.objectBytes -= objectBytes(message);
			count(-bytes(message));
		}
		return message;
	}

	private void count(int change) {
		this.bytes += change;
		this.budget.readAhead(change);
	}

	private static int objectBytes(HttpObject message) {
		int fields = (message instanceof HttpRequest request) ? request.headers().size() : 0;
		return MESSAGE_BYTES + fields * FIELD_BYTES;
	}

	private static int bytes(HttpObject message) {
		int bytes = (message instanceof HttpContent content) ? content.content().readableBytes() : 0;
		if (message instanceof HttpRequest request) {
			bytes += request.uri().length();
			for (Map.Entry<String, String> header : request.headers()) {
				bytes += header.getKey().length() + header.getValue().length();
			}
		}
		return bytes;
	}

	/**
	 * Return whether reading should pause until the request in progress has ended.
	 * @return whether a limit has been reached
	 */
	boolean full() {
		return this.messages.size() >= MAX_MESSAGES || this.bytes >= MAX_BYTES || this.bytes > 0 && this.budget.tight();
	}

	boolean isEmpty() {
		return this.messages.isEmpty();
	}

	/**
	 * Return the memory of the messages with their objects.
	 * @return the number of bytes
	 */
	int heldBytes() {
		return this.bytes + this.objectBytes;
	}

	int size() {
		return this.messages.size();
	}

	/**
	 * Return the requests whose heads are among the messages.
	 * @return the heads, in the order received
	 */
	List<HttpRequest> requests() {
		return this.messages.stream().filter(HttpRequest.class::isInstance).map(HttpRequest.class::cast).toList();
	}

	void clear() {
		while (!this.messages.isEmpty()) {
			ReferenceCountUtil.release(poll());
		}
	}

}

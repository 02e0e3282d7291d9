package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

import org.acaciamux.internal.coordination.direct.ServiceRoute;
import org.acaciamux.internal.transport.http.HopHeaders;

/**
 * Passes the response of a backend server on to the caller: events as they arrive, other
 * bodies when they are complete, so that a failed send can still be repeated. Invariants:
 * the head and the seal are those of the first server from which the caller received
 * bytes; before the end of a resumable stream only complete events are passed on.
 * Confined to the event loop.
 */
final class ResponseRelay {

	/**
	 * Largest body that is buffered until it is complete, in bytes; a larger one is
	 * passed on in parts.
	 */
	private static final int MAX_BUFFERED_BYTES = 1_048_576;

	private static final int FIRST_ERROR_STATUS = 300;

	private final EventFramer framer = new EventFramer();

	private final DirectCaller caller;

	private final ServiceRoute route;

	private HttpResponse response;

	private final HeldBytes heldBytes;

	private ByteBuf buffered = Unpooled.buffer(0);

	private boolean failureTooLong;

	private boolean started;

	ResponseRelay(DirectCaller caller, ServiceRoute route, HeldBytes heldBytes) {
		this.caller = caller;
		this.route = route;
		this.heldBytes = heldBytes;
	}

	/**
	 * Set the head of a response that will be passed on.
	 * @param head the head; ignored if the caller has already received the head of an
	 * earlier response
	 */
	void head(HttpResponse head) {
		if (!this.started) {
			this.response = head;
		}
	}

	/**
	 * Pass on or buffer a part of the body.
	 * @param data the part
	 * @return whether the caller's connection accepts more data now
	 */
	boolean data(ByteBuf data) {
		if (!streams()) {
			buffer(data);
			return true;
		}
		ByteBuf ready = this.route.resumable() ? this.framer.append(data) : Unpooled.copiedBuffer(data);
		if (!ready.isReadable()) {
			return true;
		}
		begin();
		this.caller.data(ready);
		return this.caller.writable();
	}

	private void buffer(ByteBuf data) {
		this.buffered.writeBytes(data, data.readerIndex(), data.readableBytes());
		this.heldBytes.add(data.readableBytes());
		if (this.buffered.readableBytes() <= MAX_BUFFERED_BYTES && !this.heldBytes.full()) {
			return;
		}
		if (this.response.status().code() >= FIRST_ERROR_STATUS) {
			this.failureTooLong = true;
			return;
		}
		begin();
		this.caller.data(takeBuffered());
	}

	private ByteBuf takeBuffered() {
		ByteBuf taken = this.buffered;
		this.heldBytes.add(-taken.readableBytes());
		this.buffered = Unpooled.buffer(0);
		return taken;
	}

	/**
	 * Return whether the response cannot be one because of its length: a failure or an
	 * event that does not end. Nothing more of it may be passed on.
	 * @return whether it is too long
	 */
	boolean tooLong() {
		return this.failureTooLong || this.framer.tooLong();
	}

	private boolean streams() {
		return this.started || (this.route.streaming() && this.response.status().code() < FIRST_ERROR_STATUS);
	}

	private void begin() {
		if (!this.started) {
			this.started = true;
			this.caller.startStream(this.response.status(), headers());
		}
	}

	/**
	 * Complete the response to the caller.
	 */
	void end() {
		if (!streams()) {
			this.caller.respond(this.response.status(), headers(), takeBuffered());
			return;
		}
		begin();
		ByteBuf rest = this.framer.takeRest();
		if (rest.isReadable()) {
			this.caller.data(rest);
		}
		this.caller.endStream();
	}

	/**
	 * Discard what has not been passed on, because the send failed.
	 */
	void discard() {
		takeBuffered();
		this.failureTooLong = false;
		this.framer.discard();
	}

	/**
	 * Return whether a part of the response has been passed on.
	 * @return whether the response has started
	 */
	boolean started() {
		return this.started;
	}

	/**
	 * Return whether another server can continue the response: a stream continues after
	 * the last event that was passed on.
	 * @return whether one can
	 */
	boolean continuable() {
		return !this.started || lastEventId().isPresent();
	}

	/**
	 * Return the status of the response.
	 * @return the status, 0 if there is none yet
	 */
	int status() {
		return (this.response == null) ? 0 : this.response.status().code();
	}

	/**
	 * Return the last event that was passed on to the caller.
	 * @return its id, empty if there is none
	 */
	Optional<String> lastEventId() {
		return this.framer.lastId();
	}

	private HttpHeaders headers() {
		HttpHeaders headers = OutgoingHeaders.FACTORY.newHeaders();
		HopHeaders hop = HopHeaders.ofResponse(this.response.headers().getAll(HttpHeaderNames.CONNECTION));
		this.response.headers().forEach((entry) -> {
			if (!hop.contains(entry.getKey())) {
				headers.add(entry.getKey(), entry.getValue());
			}
		});
		return headers;
	}

}

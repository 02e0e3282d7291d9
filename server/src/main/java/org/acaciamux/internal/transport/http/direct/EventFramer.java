package org.acaciamux.internal.transport.http.direct;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events, so that a stream that breaks off in the middle
 * of an event can be resumed with that event at another server. Invariant:
 * {@link #append} returns only complete events, in order, except for parts of an event
 * longer than {@link #MAX_EVENT_BYTES}. Confined to the event loop.
 */
final class EventFramer {

	/**
	 * Largest event that is held back until it is complete, in bytes; a longer one is
	 * passed on in parts.
	 */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf incomplete = Unpooled.EMPTY_BUFFER;

	private String lastId = "";

	/**
	 * Append bytes and return the events that are complete now.
	 * @param data the bytes
	 * @return the complete events, empty if there are none; the caller releases it
	 */
	ByteBuf append(ByteBuf data) {
		ByteBuf bytes = Unpooled.wrappedBuffer(this.incomplete, data.retain());
		this.incomplete = Unpooled.EMPTY_BUFFER;
		int end = lastEventEnd(bytes);
		if (bytes.readableBytes() - end > MAX_EVENT_BYTES) {
			end = bytes.readableBytes();
		}
		if (end < bytes.readableBytes()) {
			this.incomplete = Unpooled
				.copiedBuffer(bytes.slice(bytes.readerIndex() + end, bytes.readableBytes() - end));
		}
		ByteBuf events = Unpooled.copiedBuffer(bytes.slice(bytes.readerIndex(), end));
		bytes.release();
		noteLastId(events);
		return events;
	}

	/**
	 * Discard the incomplete event, because the stream is resumed at another server.
	 */
	void discard() {
		this.incomplete = Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Remove and return the bytes after the last complete event.
	 * @return the remaining bytes of a stream that has ended; the caller releases them
	 */
	ByteBuf takeRest() {
		ByteBuf rest = this.incomplete;
		this.incomplete = Unpooled.EMPTY_BUFFER;
		return rest;
	}

	/**
	 * Return the id of the last event returned by {@link #append}.
	 * @return the id, empty if none had one
	 */
	Optional<String> lastId() {
		return Optional.of(this.lastId).filter((id) -> !id.isEmpty());
	}

	private static int lastEventEnd(ByteBuf bytes) {
		int from = bytes.readerIndex();
		for (int i = bytes.writerIndex() - 1; i > from; i--) {
			if (bytes.getByte(i) == '\n' && endsEvent(bytes, i, from)) {
				return i + 1 - from;
			}
		}
		return 0;
	}

	private static boolean endsEvent(ByteBuf bytes, int newline, int from) {
		int before = newline - 1;
		if (bytes.getByte(before) == '\r') {
			before--;
		}
		return before >= from && bytes.getByte(before) == '\n';
	}

	private void noteLastId(ByteBuf events) {
		int end = events.writerIndex();
		while (end > events.readerIndex()) {
			int start = events.forEachByteDesc(events.readerIndex(), end - 1 - events.readerIndex(),
					(value) -> value != '\n') + 1;
			if (startsWithId(events, start, end)) {
				this.lastId = events.toString(start + ID.length, end - start - ID.length, StandardCharsets.US_ASCII)
					.trim();
				return;
			}
			end = start;
		}
	}

	private static boolean startsWithId(ByteBuf events, int start, int end) {
		if (end - start < ID.length) {
			return false;
		}
		for (int i = 0; i < ID.length; i++) {
			if (events.getByte(start + i) != ID[i]) {
				return false;
			}
		}
		return true;
	}

}

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

	/** Largest event, in bytes. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/** Bytes before the end of an event that are needed to recognize it. */
	private static final int MAX_SEPARATOR_BYTES = 4;

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf incomplete = Unpooled.buffer();

	private String lastId = "";

	/**
	 * Append bytes and return the events that are complete now.
	 * @param data the bytes
	 * @return the complete events, empty if there are none; the caller releases it
	 */
	ByteBuf append(ByteBuf data) {
		int searched = Math.max(0, this.incomplete.readableBytes() - MAX_SEPARATOR_BYTES);
		this.incomplete.writeBytes(data, data.readerIndex(), data.readableBytes());
		int end = lastEventEnd(this.incomplete, searched);
		if (end == 0) {
			return Unpooled.EMPTY_BUFFER;
		}
		ByteBuf events = Unpooled.copiedBuffer(this.incomplete.readSlice(end));
		this.incomplete.discardReadBytes();
		noteLastId(events);
		return events;
	}

	/**
	 * Return whether the incomplete event is longer than any event may be.
	 * @return whether it is too long
	 */
	boolean tooLong() {
		return this.incomplete.readableBytes() > MAX_EVENT_BYTES;
	}

	/**
	 * Discard the incomplete event, because the stream is resumed at another server.
	 */
	void discard() {
		this.incomplete = Unpooled.buffer();
	}

	/**
	 * Remove and return the bytes after the last complete event.
	 * @return the remaining bytes of a stream that has ended; the caller releases them
	 */
	ByteBuf takeRest() {
		ByteBuf rest = this.incomplete;
		this.incomplete = Unpooled.buffer();
		return rest;
	}

	/**
	 * Return the id of the last event returned by {@link #append}.
	 * @return the id, empty if none had one
	 */
	Optional<String> lastId() {
		return Optional.of(this.lastId).filter((id) -> !id.isEmpty());
	}

	// Searches backwards, but not the bytes before the given offset, which contain no
	// end.
	private static int lastEventEnd(ByteBuf bytes, int offset) {
		int from = bytes.readerIndex();
		for (int i = bytes.writerIndex() - 1; i > from + offset; i--) {
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

package org.acaciamux.internal.coordination.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

import com.google.protobuf.ByteString;

/**
 * The last bytes of a response body, addressed by offset. Invariants: bytes that were not
 * sent yet are never dropped, and at most {@code limit} sent bytes are kept beyond the
 * chunk that crosses the limit. Not thread-safe; guarded by the owner.
 */
public final class ResponseTail {

	/** Sent bytes that are kept for a resume. */
	public static final int DEFAULT_LIMIT = 256 * 1024;

	private final Deque<ByteString> chunks = new ArrayDeque<>();

	private final int limit;

	private long start;

	private long end;

	private long sent;

	public ResponseTail(int limit) {
		this.limit = limit;
	}

	/**
	 * Append bytes.
	 * @param data the bytes
	 */
	public void append(ByteString data) {
		if (data.isEmpty()) {
			return;
		}
		this.chunks.addLast(data);
		this.end += data.size();
		trim();
	}

	/**
	 * Take the next bytes to send.
	 * @param max the largest number of bytes, at least 1
	 * @return the bytes, at least one, or empty if all were sent
	 */
	public Optional<ByteString> next(long max) {
		if (this.sent == this.end) {
			return Optional.empty();
		}
		ByteString data = at(this.sent, max);
		this.sent += data.size();
		trim();
		return Optional.of(data);
	}

	private ByteString at(long offset, long max) {
		long position = this.start;
		Iterator<ByteString> iterator = this.chunks.iterator();
		ByteString chunk = iterator.next();
		while (position + chunk.size() <= offset) {
			position += chunk.size();
			chunk = iterator.next();
		}
		int from = (int) (offset - position);
		int to = (int) Math.min(chunk.size(), from + max);
		return chunk.substring(from, to);
	}

	/**
	 * Continue sending at an offset that the receiver names.
	 * @param offset the offset of the first byte that the receiver lacks
	 * @return whether the bytes from there on are still kept
	 */
	public boolean rewind(long offset) {
		if (offset < this.start || offset > this.end) {
			return false;
		}
		this.sent = offset;
		return true;
	}

	private void trim() {
		while (!this.chunks.isEmpty()) {
			int first = this.chunks.peekFirst().size();
			boolean firstIsSent = this.start + first <= this.sent;
			if (!firstIsSent || this.sent - this.start - first < this.limit) {
				return;
			}
			this.chunks.removeFirst();
			this.start += first;
		}
	}

	/**
	 * Return the offset of the next byte to send.
	 * @return the offset
	 */
	public long sentOffset() {
		return this.sent;
	}

	/**
	 * Return the length of the response so far.
	 * @return the bytes appended
	 */
	public long length() {
		return this.end;
	}

	/**
	 * Return how much waits to be sent.
	 * @return the bytes
	 */
	public long unsent() {
		return this.end - this.sent;
	}

	/**
	 * Return how much is kept in memory.
	 * @return the bytes
	 */
	public long retained() {
		return this.end - this.start;
	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

import com.google.protobuf.ByteString;

/**
 * Buffers the last bytes of a response body, addressed by offset. Invariants: unsent
 * bytes are never dropped, and at most {@code limit} sent bytes are kept, plus the rest
 * of the chunk that crosses this limit. Not thread-safe; guarded by the lock of its
 * owner.
 */
public final class ResponseTail {

	/** Number of sent bytes that are kept for a resume. */
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
	 * Return the next bytes to send and mark them as sent.
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
	 * Move the send position to the offset that the receiver requests.
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
	 * @return the number of bytes appended
	 */
	public long length() {
		return this.end;
	}

	/**
	 * Return how many bytes are unsent.
	 * @return the number of bytes
	 */
	public long unsent() {
		return this.end - this.sent;
	}

	/**
	 * Return how many bytes are kept in memory.
	 * @return the number of sent and unsent bytes
	 */
	public long retained() {
		return this.end - this.start;
	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.RequestId;

/**
 * Sends one response to a router within the credit. Invariants: no byte is sent beyond
 * the credit; the end is sent after the last byte; reading from the backend server is
 * paused while more than {@link #HIGH_WATER} bytes are unsent, so that a slow caller
 * cannot exhaust the memory. Not thread-safe; guarded by the lock of its owner.
 */
final class ResponseSender {

	/** Unsent bytes at which reading is paused. */
	static final int HIGH_WATER = 128 * 1024;

	/** Unsent bytes at which reading is resumed. */
	static final int LOW_WATER = 32 * 1024;

	/** Largest chunk in bytes, so that one response does not delay others on the link. */
	private static final int MAX_CHUNK = 32 * 1024;

	private final RequestId id;

	private final ResponseTail tail = new ResponseTail(ResponseTail.DEFAULT_LIMIT);

	private PeerLink link;

	private long credit;

	private Frame head;

	private int status;

	private Failure failure;

	private boolean complete;

	private boolean endSent;

	private int load;

	ResponseSender(RequestId id, PeerLink link, long credit) {
		this.id = id;
		this.link = link;
		this.credit = credit;
	}

	void head(int status, List<Header> headers, String server, int load, boolean replayed) {
		this.status = status;
		this.head = ResponseFrames.head(this.id, status, headers, server, load, replayed);
		send(this.head);
	}

	void data(ByteString data) {
		this.tail.append(data);
		pump();
	}

	/**
	 * Mark the response as ended; the end is sent after the remaining bytes.
	 * @param failure why it broke off, null if it is complete
	 * @param load the load to report
	 */
	void end(Failure failure, int load) {
		this.complete = true;
		this.failure = failure;
		this.load = load;
		pump();
	}

	/**
	 * End the response at once, without sending the remaining bytes.
	 * @param failure why it broke off
	 * @param load the load to report
	 */
	void abort(Failure failure, int load) {
		this.complete = true;
		this.failure = failure;
		this.load = load;
		if (this.link != null && !this.endSent) {
			this.endSent = true;
			send(endFrame());
		}
	}

	/**
	 * Send what the credit and the link allow.
	 */
	void pump() {
		while (this.link != null && this.credit > 0 && this.link.isWritable()) {
			long offset = this.tail.sentOffset();
			Optional<ByteString> data = this.tail.next(Math.min(this.credit, MAX_CHUNK));
			if (data.isEmpty()) {
				break;
			}
			this.credit -= data.get().size();
			send(ResponseFrames.chunk(this.id, offset, data.get()));
		}
		if (this.complete && !this.endSent && this.link != null && this.tail.unsent() == 0) {
			this.endSent = true;
			send(endFrame());
		}
	}

	private Frame endFrame() {
		if (this.failure != null) {
			return ResponseFrames.brokenOff(this.id, this.tail.length(), this.failure, this.load);
		}
		return ResponseFrames.answered(this.id, this.tail.length(), this.load);
	}

	private void send(Frame frame) {
		if (this.link != null) {
			this.link.send(frame);
		}
	}

	void credit(long bytes) {
		this.credit += bytes;
		pump();
	}

	/**
	 * Continue over a new link.
	 * @param link the link
	 * @param offset the offset of the first byte that the router lacks
	 * @param credit the new credit, which replaces what was left
	 * @return whether the bytes from there on are still kept
	 */
	boolean resume(PeerLink link, long offset, long credit) {
		if (!this.tail.rewind(offset)) {
			return false;
		}
		this.link = link;
		this.credit = credit;
		this.endSent = false;
		if (this.head != null) {
			send(this.head);
		}
		pump();
		return true;
	}

	void detach() {
		this.link = null;
	}

	/**
	 * Return the link to the caller's router.
	 * @return the link, or null if there is none
	 */
	PeerLink link() {
		return this.link;
	}

	boolean headSent() {
		return this.head != null;
	}

	int status() {
		return this.status;
	}

	boolean endSent() {
		return this.endSent;
	}

	boolean aboveHighWater() {
		return this.tail.unsent() > HIGH_WATER;
	}

	boolean belowLowWater() {
		return this.tail.unsent() <= LOW_WATER;
	}

	long length() {
		return this.tail.length();
	}

	long retained() {
		return this.tail.retained();
	}

}

package org.acaciamux.internal.transport.http;

import io.netty.buffer.ByteBuf;

/**
 * Tells whether the bytes of a stream of server-sent events so far end between two
 * events. A server that breaks off may do so inside an event, and closing its connection
 * may be all that marks the end of the stream. Not thread-safe.
 */
public final class EventBoundary {

	private boolean lineStarted;

	private boolean comment;

	private boolean eventStarted;

	private boolean eventSeen;

	private boolean afterCarriageReturn;

	private boolean usesCrLf;

	/**
	 * Append the next bytes of the stream.
	 * @param data the bytes, which are not consumed
	 */
	public void append(ByteBuf data) {
		data.forEachByte(this::append);
	}

	private boolean append(byte value) {
		if (value == '\n' && this.afterCarriageReturn) {
			this.usesCrLf = true;
		}
		else if (value == '\n' || value == '\r') {
			endLine();
		}
		else if (!this.lineStarted) {
			this.lineStarted = true;
			this.comment = value == ':';
		}
		this.afterCarriageReturn = value == '\r';
		return true;
	}

	private void endLine() {
		if (!this.lineStarted) {
			this.eventSeen = this.eventSeen || this.eventStarted;
			this.eventStarted = false;
		}
		else if (!this.comment) {
			this.eventStarted = true;
		}
		this.lineStarted = false;
	}

	/**
	 * Return whether the bytes end inside an event.
	 * @return whether an event, or a line, has started and not ended
	 */
	public boolean insideEvent() {
		return this.lineStarted || this.eventStarted || (this.usesCrLf && this.afterCarriageReturn);
	}

	/**
	 * Return whether a whole event has been seen.
	 * @return whether there was one
	 */
	public boolean eventSeen() {
		return this.eventSeen;
	}

}

package org.acaciamux.internal.protocol;

import java.util.HashSet;
import java.util.Set;

import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RequestId;

/**
 * Tracks which requests are in flight on a connection, based on its frames, so that the
 * {@link Heartbeat} knows whether the connection is busy. Not thread-safe.
 */
public final class OutstandingRequests {

	private final Set<RequestId> ids = new HashSet<>();

	/**
	 * Record a frame that was sent or received.
	 * @param frame the frame
	 */
	public void note(Frame frame) {
		switch (frame.getBodyCase()) {
			case SUBMIT -> this.ids.add(frame.getSubmit().getId());
			case RESUME -> this.ids.add(frame.getResume().getId());
			case RESOLVE -> this.ids.add(frame.getResolve().getId());
			case END -> this.ids.remove(frame.getEnd().getId());
			case REFUSED -> this.ids.remove(frame.getRefused().getId());
			case CANCEL -> this.ids.remove(frame.getCancel().getId());
			case RESOLUTION -> this.ids.remove(frame.getResolution().getId());
			default -> {
			}
		}
	}

	/**
	 * Return whether no request is in flight.
	 * @return whether the connection is idle
	 */
	public boolean isEmpty() {
		return this.ids.isEmpty();
	}

}

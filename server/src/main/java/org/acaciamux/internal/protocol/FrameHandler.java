package org.acaciamux.internal.protocol;

import org.acaciamux.internal.protocol.wire.Frame;

/**
 * Receives the frames of links. Called on a thread that must not block; frames of one
 * link are delivered one at a time and in order.
 */
@FunctionalInterface
public interface FrameHandler {

	/**
	 * Handle a frame.
	 * @param link the link on which it arrived
	 * @param frame the frame
	 */
	void handle(PeerLink link, Frame frame);

}

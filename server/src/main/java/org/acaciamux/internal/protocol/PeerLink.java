package org.acaciamux.internal.protocol;

import java.util.function.Consumer;

import org.acaciamux.internal.protocol.wire.Frame;

/**
 * One established connection to another process, after the handshake. Frames arrive in
 * the order sent, or the link closes. Implementations are thread-safe.
 */
public interface PeerLink {

	/**
	 * Return the identity of the process at the other end.
	 * @return the peer
	 */
	PeerIdentity peer();

	/**
	 * Send a frame. Does nothing if the link is closed: the owner learns of that from
	 * {@link #onClose}.
	 * @param frame the frame
	 */
	void send(Frame frame);

	/**
	 * Return whether the connection's outgoing buffer has room. Senders should hold
	 * frames back while it is full.
	 * @return whether the link is writable
	 */
	boolean isWritable();

	/**
	 * Call an action each time the outgoing buffer has drained after it was full. Links
	 * that do not support this never call it; senders then look at {@link #isWritable}
	 * periodically.
	 * @param action the action; must not block
	 */
	default void onWritable(Runnable action) {
	}

	/**
	 * Return whether frames can still be sent.
	 * @return whether the link is open
	 */
	boolean isOpen();

	/**
	 * Call an action once when the link is closed, at once if it is already closed.
	 * @param action receives the reason
	 */
	void onClose(Consumer<String> action);

	/**
	 * Close the link.
	 * @param reason why, for the log
	 */
	void close(String reason);

	/**
	 * Identity of the process at the other end of a link.
	 *
	 * @param id the VM's id
	 * @param role {@code router} or {@code agent}
	 * @param incarnation the incarnation of the process
	 * @param version the protocol version agreed on
	 */
	record PeerIdentity(String id, String role, long incarnation, int version) {
	}

}

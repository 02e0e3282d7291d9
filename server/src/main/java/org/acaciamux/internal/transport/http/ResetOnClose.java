package org.acaciamux.internal.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * Lets a connection end with a reset while a response that has neither length nor chunks
 * is incomplete. A regular close, which the system also does for a process that is
 * killed, would make the response look complete. Holds no state; thread-safe.
 */
public final class ResetOnClose {

	private static final int RESET = 0;

	private static final int CLOSE_REGULARLY = -1;

	private ResetOnClose() {
	}

	/**
	 * Reset the connection when it is closed from now on.
	 * @param connection the connection
	 */
	public static void enable(Channel connection) {
		connection.config().setOption(ChannelOption.SO_LINGER, RESET);
	}

	/**
	 * Close the connection regularly, because the whole response has been written.
	 * @param connection the connection
	 */
	public static void disable(Channel connection) {
		connection.config().setOption(ChannelOption.SO_LINGER, CLOSE_REGULARLY);
	}

}

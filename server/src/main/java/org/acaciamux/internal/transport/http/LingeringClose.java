package org.acaciamux.internal.transport.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Ends a caller's connection after a last response that announced it. Closing at once
 * would reset the connection if bytes of the caller have not been read, and the reset
 * destroys a response that the caller has not read yet. Invariant: the connection closes
 * when the caller closes it, at the latest when the time limit has passed. Holds no
 * state; used in the event loop of the connection.
 */
public final class LingeringClose {

	/** Longest time, in milliseconds, that input is read and discarded. */
	private static final long DISCARD_LIMIT_MS = 2_000;

	private LingeringClose() {
	}

	/**
	 * End the output of a connection, and close it when the caller has done so. The
	 * handlers of the connection must discard what they receive from now on.
	 * @param connection the connection, whose last response has been written
	 */
	public static void start(Channel connection) {
		boolean timed = false;
		try {
			connection.config().setAutoRead(true);
			if (connection instanceof DuplexChannel duplex) {
				duplex.shutdownOutput();
			}
			ScheduledFuture<?> timer = connection.eventLoop()
				.schedule((Runnable) connection::close, DISCARD_LIMIT_MS, TimeUnit.MILLISECONDS);
			connection.closeFuture().addListener((closed) -> timer.cancel(false));
			timed = true;
		}
		finally {
			if (!timed) {
				connection.close();
			}
		}
	}

}

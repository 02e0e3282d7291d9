package org.acaciamux.internal.transport.peer;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.socket.DuplexChannel;

/**
 * Ends connections after the other side has read everything. Frames may be in the write
 * buffer long after they were sent, and the end of the process would drop them.
 * Thread-safe; holds no state.
 */
final class FlushedClose {

	private FlushedClose() {
	}

	/**
	 * Send what is in the write buffers, end the output, and wait until the other sides
	 * have closed the connections. Must not be called by an event loop.
	 * @param connections the connections
	 * @param limitMs longest time in milliseconds; connections that are open after it
	 * stay open
	 */
	static void await(ChannelGroup connections, long limitMs) {
		connections
			.forEach((connection) -> connection.eventLoop().execute(() -> endOutputAfterPendingWrites(connection)));
		connections.newCloseFuture().awaitUninterruptibly(limitMs, TimeUnit.MILLISECONDS);
	}

	private static void endOutputAfterPendingWrites(Channel connection) {
		ChannelHandlerContext first = connection.pipeline().firstContext();
		if (first == null || !(connection instanceof DuplexChannel duplex)) {
			return;
		}
		// Written past the encoders, which would make a frame of the empty buffer.
		first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((written) -> duplex.shutdownOutput());
	}

}

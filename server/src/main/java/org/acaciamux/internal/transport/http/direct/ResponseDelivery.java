package org.acaciamux.internal.transport.http.direct;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import org.agrona.collections.IntArrayQueue;

/**
 * What has been handed to one caller's connection and is not in its socket yet.
 * Invariant: responses are written in the order of their requests; a write that fails
 * closes the connection, and what it left is still known then. Confined to the event
 * loop.
 */
final class ResponseDelivery {

	/**
	 * Bytes that a caller reads at least in the idle timeout: single bytes do not extend
	 * it.
	 */
	private static final int MIN_PROGRESS_BYTES = 4_096;

	/**
	 * Body bytes of each write that is not complete; inverted for the end of a response.
	 */
	private final IntArrayQueue writes = new IntArrayQueue();

	/** Requests whose responses are complete and not written. */
	private final Deque<HttpRequest> answered = new ArrayDeque<>(1);

	private final ChannelFutureListener listener = this::completed;

	private final Channel channel;

	/** Bytes that were not written at the last check, as the channel counts them. */
	private long leftBytes;

	private long progressAt;

	/** The error that ended the connection, null if there was none. */
	private Throwable failure;

	ResponseDelivery(Channel channel, long now) {
		this.channel = channel;
		this.progressAt = now;
	}

	/**
	 * Write a part of a response.
	 * @param part the part
	 * @param bytes the length of its body
	 * @return completes when it is written
	 */
	ChannelFuture write(HttpObject part, int bytes) {
		return track(this.channel.writeAndFlush(part), bytes);
	}

	/**
	 * Write the end of a response.
	 * @param end the end, or the whole response
	 * @param bytes the length of its body
	 * @param request the request that it answers
	 * @return completes when it is written
	 */
	ChannelFuture writeEnd(HttpObject end, int bytes, HttpRequest request) {
		ChannelFuture write = this.channel.writeAndFlush(end);
		if (!write.isSuccess()) {
			this.answered.add(request);
		}
		return track(write, ~bytes);
	}

	private ChannelFuture track(ChannelFuture write, int entry) {
		if (!write.isSuccess()) {
			this.writes.addInt(entry);
			write.addListener(this.listener);
		}
		return write;
	}

	private void completed(ChannelFuture write) {
		if (write.isSuccess()) {
			if (this.writes.pollInt() < 0) {
				this.answered.remove();
			}
			return;
		}
		if (this.failure == null && !(write.cause() instanceof ClosedChannelException)) {
			this.failure = write.cause();
		}
		this.channel.close();
	}

	/**
	 * Return whether everything is written.
	 * @return whether the socket has all bytes
	 */
	boolean written() {
		return this.writes.isEmpty();
	}

	// The system calls a socket writable when a third of its send buffer is free, which
	// may hold seconds of what a slow caller reads.
	private void flush() {
		if (!written() && this.channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
			nio.forceFlush();
		}
	}

	/**
	 * Return when the caller has last made room for further bytes. To be called a few
	 * times a second while no response is in progress; a change counts from the call that
	 * sees it.
	 * @param now the monotonic time in nanoseconds
	 * @return the time, monotonic in nanoseconds
	 */
	long progressAt(long now) {
		flush();
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		long left = (buffer != null) ? buffer.totalPendingWriteBytes() - buffer.currentProgress() : 0;
		long read = this.leftBytes - left;
		if (read < 0 || read >= MIN_PROGRESS_BYTES || read > 0 && left == 0) {
			this.leftBytes = left;
			this.progressAt = now;
		}
		return this.progressAt;
	}

	/**
	 * Return the error of a write that ended the connection.
	 * @return the error, empty if it was closed otherwise
	 */
	Optional<Throwable> failure() {
		return Optional.ofNullable(this.failure);
	}

	/**
	 * Report the complete responses that are not written.
	 * @param receiver receives each of them
	 */
	void unwritten(Receiver receiver) {
		Iterator<HttpRequest> requests = this.answered.iterator();
		IntArrayQueue.IntIterator entries = this.writes.iterator();
		int bytes = 0;
		while (entries.hasNext()) {
			int entry = entries.nextValue();
			bytes += (entry < 0) ? ~entry : entry;
			if (entry < 0) {
				receiver.unwritten(requests.next(), bytes);
				bytes = 0;
			}
		}
	}

	/**
	 * Receives the responses that are not written.
	 */
	interface Receiver {

		/**
		 * Receive a response.
		 * @param request the request that it answers
		 * @param bytes bytes of its body in the writes that are not complete
		 */
		void unwritten(HttpRequest request, int bytes);

	}

}

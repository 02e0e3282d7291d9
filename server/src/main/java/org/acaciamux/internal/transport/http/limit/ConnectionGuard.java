package org.acaciamux.internal.transport.http.limit;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.transport.http.limit.ClientAccount.State;

/**
 * Charges one connection to the account of the process, from the first byte that arrives
 * to the last one that waits to be written. First handler of the connection. Confined to
 * the event loop.
 */
public final class ConnectionGuard extends ChannelDuplexHandler implements ClientAccount.Held {

	/** Memory of a connection that holds nothing. */
	private static final int CONNECTION_BYTES = 4_096;

	private final ClientAccount account;

	private final Place place;

	private final NanoClock clock;

	private final Client client;

	private final Channel channel;

	/** Longest time for a head or for reading a response, 0 if the client checks it. */
	private final long timeoutNanos;

	private LimitedDecoder decoder;

	private boolean served;

	private long quietSince;

	private long charged;

	private boolean open;

	/**
	 * Create a guard.
	 * @param account the account of the process
	 * @param place where the connection was accepted
	 * @param clock the monotonic clock
	 * @param channel the connection
	 * @param timeoutMs longest time for a head, or for reading a response, in
	 * milliseconds; 0 if the client checks it
	 * @param client serves the connection
	 */
	public ConnectionGuard(ClientAccount account, Place place, NanoClock clock, Channel channel, long timeoutMs,
			Client client) {
		this.account = account;
		this.place = place;
		this.clock = clock;
		this.channel = channel;
		this.client = client;
		this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		this.quietSince = clock.nanoTime();
	}

	/**
	 * Charge the connection. Others may be closed for it.
	 * @return whether there is room for it
	 */
	public boolean open() {
		this.open = this.account.open(this);
		return this.open;
	}

	/**
	 * Set the decoder, whose memory is charged.
	 * @param decoder the decoder in use from now on
	 */
	public void decoder(LimitedDecoder decoder) {
		this.decoder = decoder;
	}

	/**
	 * Record that a request was served to its end.
	 */
	public void served() {
		this.served = true;
		this.quietSince = this.clock.nanoTime();
		update();
	}

	/**
	 * Return whether a further request may be served. A connection that has to wait is
	 * not writable, and can ask again when it is.
	 * @return whether its client reads, or all connections together hold little
	 */
	public boolean admitsRequest() {
		return this.channel.isWritable() || this.account.admitsUnread();
	}

	private void update() {
		if (!this.open) {
			return;
		}
		long held = CONNECTION_BYTES + this.decoder.heldBytes() + this.client.heldBytes() + unwritten();
		long change = held - this.charged;
		this.charged = held;
		this.account.charge(change, this.clock.nanoTime());
	}

	private long unwritten() {
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		ctx.fireChannelRead(message);
		update();
	}

	@Override
	public void flush(ChannelHandlerContext ctx) {
		ctx.flush();
		update();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		ctx.fireChannelWritabilityChanged();
		update();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		ended();
		ctx.fireChannelInactive();
	}

	private void ended() {
		if (this.open) {
			this.open = false;
			this.account.closed(this);
		}
	}

	@Override
	public Place place() {
		return this.place;
	}

	@Override
	public State state() {
		if (this.client.busy()) {
			return State.SERVED;
		}
		if (this.client.bodyDue()) {
			return State.BODY;
		}
		return this.served ? State.IDLE : State.HEAD;
	}

	@Override
	public long charged() {
		return this.charged;
	}

	@Override
	public long sheddableBytes() {
		return this.client.busy() ? unwritten() : this.charged;
	}

	@Override
	public long quietSince() {
		return this.quietSince;
	}

	@Override
	public Optional<Limit> overdue(long now) {
		boolean waits = !this.served || this.decoder.heldBytes() > 0 || unwritten() > 0;
		boolean late = this.timeoutNanos > 0 && waits && now - this.quietSince > this.timeoutNanos;
		return late ? Optional.of(Limit.TIME) : Optional.empty();
	}

	@Override
	public void close(Limit limit) {
		this.open = false;
		// Other connections are read before this one is told of its end, so what it holds
		// is released now.
		LimitedDecoder released = this.decoder;
		this.decoder = null;
		this.client.close(limit);
		if (this.channel.pipeline().context(released) != null) {
			this.channel.pipeline().remove(released);
		}
	}

	/**
	 * Serves the connection.
	 */
	public interface Client {

		/**
		 * Return the memory of its requests that is not in the decoder.
		 * @return the number of bytes
		 */
		long heldBytes();

		/**
		 * Return whether a request is being served.
		 * @return whether one is
		 */
		boolean busy();

		/**
		 * Return whether a head is complete and its body is not.
		 * @return whether it is so
		 */
		boolean bodyDue();

		/**
		 * Refuse the request that arrives, or close the connection.
		 * @param limit why
		 */
		void close(Limit limit);

	}

}

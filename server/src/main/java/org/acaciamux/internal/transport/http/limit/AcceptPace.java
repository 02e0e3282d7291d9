package org.acaciamux.internal.transport.http.limit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;

/**
 * Number of connections that a listener accepts in one turn of the event loop: all that
 * wait, but one at a time when there are as many as are allowed, because the descriptors
 * of the connections that are closed for them are free only after the turn. Confined to
 * the event loop.
 */
public final class AcceptPace implements RecvByteBufAllocator {

	private final ClientAccount account;

	private final Place place;

	private final int most;

	/**
	 * Create a pace.
	 * @param account the connections
	 * @param place the address of the listener
	 * @param most largest number in one turn
	 */
	public AcceptPace(ClientAccount account, Place place, int most) {
		this.account = account;
		this.place = place;
		this.most = most;
	}

	@Override
	public ExtendedHandle newHandle() {
		return new Turn();
	}

	/**
	 * One turn. A listener reads no bytes.
	 */
	private final class Turn implements ExtendedHandle {

		/** Accepted in this turn; the account learns of them at its end. */
		private int accepted;

		private ChannelConfig config;

		@Override
		public void reset(ChannelConfig listener) {
			this.config = listener;
			this.accepted = 0;
		}

		@Override
		public void incMessagesRead(int count) {
			this.accepted += Math.max(0, count);
		}

		@Override
		public boolean continueReading() {
			return this.config.isAutoRead() && this.accepted < AcceptPace.this.most
					&& AcceptPace.this.account.room(AcceptPace.this.place) > this.accepted;
		}

		@Override
		public boolean continueReading(UncheckedBooleanSupplier maybeMore) {
			return continueReading();
		}

		@Override
		public ByteBuf allocate(ByteBufAllocator allocator) {
			return allocator.ioBuffer(0);
		}

		@Override
		public int guess() {
			return 0;
		}

		@Override
		public void lastBytesRead(int bytes) {
		}

		@Override
		public int lastBytesRead() {
			return 0;
		}

		@Override
		public void attemptedBytesRead(int bytes) {
		}

		@Override
		public int attemptedBytesRead() {
			return 0;
		}

		@Override
		public void readComplete() {
		}

	}

}

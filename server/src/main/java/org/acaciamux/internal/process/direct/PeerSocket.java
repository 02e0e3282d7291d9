package org.acaciamux.internal.process.direct;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.event.DecisionLog;
import org.acaciamux.internal.transport.http.direct.DirectMetrics;
import org.acaciamux.settings.Endpoint;

/**
 * Sends and receives the datagrams of the exchange between routers. Invariants: each
 * datagram sent fits one packet; one that is not sent or cannot be read leaves a line in
 * the log, the latter at most once in {@link #UNREADABLE_LOG_INTERVAL_NANOS}. Confined to
 * the event loop.
 */
final class PeerSocket {

	/** Shortest time between two log lines of unreadable messages, in nanoseconds. */
	private static final long UNREADABLE_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Longest datagram that is received whole, in bytes: routers that do not divide their
	 * messages send up to this.
	 */
	private static final int RECEIVE_BYTES = 16_384;

	private final EventLoop loop;

	private final NanoClock clock;

	private final DirectMetrics metrics;

	private final DecisionLog log;

	private final MessagePacking packing = new MessagePacking();

	private Channel channel;

	private boolean unreadableLogged;

	private long unreadableLoggedAt;

	PeerSocket(DirectoryParts parts, DirectMetrics metrics) {
		this.loop = parts.loop();
		this.clock = parts.clock();
		this.log = parts.log();
		this.metrics = metrics;
	}

	/**
	 * Bind the socket and start receiving.
	 * @param address where the other routers send to
	 * @param receiver receives the messages
	 * @return completed when the socket is bound
	 */
	ChannelFuture bind(Endpoint address, Consumer<PeerMessage> receiver) {
		ChannelFuture bound = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BYTES))
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {
				@Override
				protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
					byte[] bytes = ByteBufUtil.getBytes(packet.content());
					PeerSocket.this.packing.unpack(bytes)
						.flatMap(PeerMessage::decode)
						.ifPresentOrElse(receiver, () -> unreadable(packet.sender(), bytes.length));
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
					PeerSocket.this.log.line("event=peer-socket-error reason=\"" + cause + "\"");
				}
			})
			.bind(address.toSocketAddress());
		this.channel = bound.channel();
		return bound;
	}

	private void unreadable(InetSocketAddress sender, int bytes) {
		this.metrics.unreadablePeerMessage();
		long now = this.clock.nanoTime();
		if (this.unreadableLogged && now - this.unreadableLoggedAt < UNREADABLE_LOG_INTERVAL_NANOS) {
			return;
		}
		this.unreadableLogged = true;
		this.unreadableLoggedAt = now;
		this.log.line("event=peer-message-unreadable peer=" + sender + " bytes=" + bytes);
	}

	/**
	 * Send a message.
	 * @param message the message
	 * @param receivers the receivers
	 */
	void send(PeerMessage message, Collection<Receiver> receivers) {
		PeerDatagrams parts = PeerDatagrams.of(message);
		this.metrics.leftOutPeerEntries(parts.leftOut());
		for (byte[] plain : parts.datagrams()) {
			byte[] packed = this.packing.pack(plain);
			for (Receiver receiver : receivers) {
				byte[] bytes = receiver.unpacks() ? packed : plain;
				this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver.address()))
					.addListener((ChannelFuture sent) -> logFailedSend(receiver.address(), bytes.length, sent));
			}
		}
		this.channel.flush();
	}

	private void logFailedSend(InetSocketAddress receiver, int bytes, ChannelFuture sent) {
		if (!sent.isSuccess()) {
			this.log.line(
					"event=peer-send-failed peer=" + receiver + " bytes=" + bytes + " reason=\"" + sent.cause() + "\"");
		}
	}

	/**
	 * A router that a message is sent to.
	 *
	 * @param address its address
	 * @param unpacks whether it has told that it reads packed datagrams
	 */
	record Receiver(InetSocketAddress address, boolean unpacks) {
	}

}

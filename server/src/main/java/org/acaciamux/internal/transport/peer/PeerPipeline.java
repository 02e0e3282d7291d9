package org.acaciamux.internal.transport.peer;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.Frame;

/**
 * Adds the channel handlers that both ends of a connection between processes use.
 * Thread-safe; holds no state.
 */
final class PeerPipeline {

	static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	private PeerPipeline() {
	}

	static void add(ChannelPipeline pipeline, PeerContext context) {
		pipeline.addLast(new FlushConsolidationHandler());
		pipeline.addLast(new ByteCounter(context.metrics));
		pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new ProtobufEncoder());
	}

	static void reportMalformed(PeerContext context, Channel channel, Throwable cause) {
		if (cause instanceof IOException) {
			return;
		}
		context.metrics.malformedFrames.inc();
		EventLog.log(PeerEvent.MALFORMED_FRAME, channel.remoteAddress(), cause.getMessage());
	}

	private static final class ByteCounter extends ChannelDuplexHandler {

		private final PeerMetrics metrics;

		private ByteCounter(PeerMetrics metrics) {
			this.metrics = metrics;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object msg) {
			if (msg instanceof ByteBuf buffer) {
				this.metrics.bytesReceived.mark(buffer.readableBytes());
			}
			ctx.fireChannelRead(msg);
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
			if (msg instanceof ByteBuf buffer) {
				this.metrics.bytesSent.mark(buffer.readableBytes());
			}
			ctx.write(msg, promise);
		}

	}

}

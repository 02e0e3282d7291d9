package org.acaciamux.internal.transport.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.Handshake;
import org.acaciamux.internal.protocol.PeerLink.PeerIdentity;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Hello;
import org.acaciamux.internal.protocol.wire.HelloReply;
import org.acaciamux.internal.state.WorkerPool;

/**
 * Accepts connections from other processes. A connection becomes a link only after its
 * handshake. A connection whose first frame is not a hello, or that sends none within the
 * time limit, is closed. Thread-safe.
 */
public final class PeerServer implements AutoCloseable {

	private static final int HANDSHAKE_TIMEOUT_MS = 5_000;

	/**
	 * Longest time in milliseconds in which peers read what is in the write buffers when
	 * the process ends.
	 */
	private static final long CLOSE_LIMIT_MS = 1_000;

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final PeerContext context;

	private final EventLoopGroup group;

	private Channel channel;

	/**
	 * Create a server that does not listen yet.
	 * @param group the event loops
	 * @param handshake identifies this process to its peers
	 * @param frameHandler receives the frames of all links
	 * @param workers the worker pool
	 * @param clock the monotonic clock
	 * @param registry where metrics are registered
	 */
	public PeerServer(EventLoopGroup group, Handshake handshake, FrameHandler frameHandler, WorkerPool workers,
			NanoClock clock, MetricRegistry registry) {
		this.group = group;
		this.context = new PeerContext(handshake, frameHandler, workers, clock, registry);
	}

	/**
	 * Listen for connections.
	 * @param address the address; port 0 lets the operating system choose
	 * @return the future of the bound channel
	 */
	public ChannelFuture bind(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap();
		bootstrap.group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel ch) {
					PeerServer.this.connections.add(ch);
					PeerPipeline.add(ch.pipeline(), PeerServer.this.context);
					ch.pipeline()
						.addLast("timeout", new ReadTimeoutHandler(HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS));
					ch.pipeline().addLast("hello", new HelloHandler(PeerServer.this.context));
				}
			});
		ChannelFuture future = bootstrap.bind(address);
		this.channel = future.channel();
		return future;
	}

	/**
	 * Stop listening, and wait for up to a second until the peers have read everything
	 * that was sent to them. Must not be called by an event loop.
	 */
	@Override
	public void close() {
		if (this.channel != null) {
			this.channel.close();
		}
		FlushedClose.await(this.connections, CLOSE_LIMIT_MS);
	}

	private static final class HelloHandler extends SimpleChannelInboundHandler<Frame> {

		private final PeerContext context;

		private HelloHandler(PeerContext context) {
			this.context = context;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
			if (!frame.hasHello()) {
				this.context.metrics.malformedFrames.inc();
				EventLog.log(PeerEvent.UNEXPECTED_FRAME, ctx.channel().remoteAddress(), frame.getBodyCase());
				ctx.close();
				return;
			}
			Hello hello = frame.getHello();
			HelloReply reply = this.context.handshake.answer(hello);
			Frame answer = Frame.newBuilder().setHelloReply(reply).build();
			if (reply.getVersion() == 0) {
				this.context.metrics.refusedHandshakes.inc();
				EventLog.log(PeerEvent.HANDSHAKE_REFUSED, hello.getId(), reply.getReason());
				ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
				return;
			}
			ctx.writeAndFlush(answer);
			PeerIdentity peer = new PeerIdentity(hello.getId(), hello.getRole(), hello.getIncarnation(),
					reply.getVersion());
			ctx.pipeline().remove("timeout");
			ctx.pipeline().replace(this, "link", new NettyPeerLink(this.context, ctx.channel(), peer));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			PeerPipeline.reportMalformed(this.context, ctx.channel(), cause);
			ctx.close();
		}

	}

}

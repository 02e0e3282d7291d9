package org.acaciamux.internal.transport.http.direct;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

import org.acaciamux.internal.coordination.direct.RequestLimits;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.transport.http.limit.AcceptPace;
import org.acaciamux.internal.transport.http.limit.ConnectionGuard;
import org.acaciamux.internal.transport.http.limit.Place;

/**
 * Accepts connections of callers. Invariant: while the router drains, idle connections
 * stay open until {@link #stopAccepting}, because the load balancer keeps sending
 * requests for some seconds. Confined to the event loop.
 */
public final class DirectFrontend {

	private static final int ACCEPT_BACKLOG = 1024;

	/** Limits that apply until a configuration is known. */
	private static final RequestLimits DEFAULT_LIMITS = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

	/** Bytes that are read from a connection at once. */
	private static final int MIN_READ_BYTES = 2_048;

	private static final int MAX_READ_BYTES = 16_384;

	/**
	 * Reads of a connection in one turn of the event loop. Time limits are checked on the
	 * assumption that a turn reads what has arrived, so this admits 1 MB.
	 */
	private static final int READS_PER_TURN = 64;

	private final DirectContext context;

	private final Set<DirectCaller> callers = new HashSet<>();

	private final CallerEnds ends;

	private final UnservedRequests unserved;

	private final IdleLimit idleLimit = new IdleLimit();

	private Channel listener;

	/**
	 * Create a frontend that is not bound yet.
	 * @param context the shared components
	 */
	public DirectFrontend(DirectContext context) {
		this.context = context;
		this.ends = new CallerEnds(context);
		context.bodyBudget().tick(context.now());
		this.unserved = new UnservedRequests(context);
	}

	/**
	 * Accept connections.
	 * @param address the address to listen at
	 * @return completes when the address is bound
	 */
	public ChannelFuture bind(InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(this.context.loop())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			// After a pause all that wait are accepted before the listener may be closed.
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new AcceptPace(this.context.clients(), Place.LISTEN, ACCEPT_BACKLOG))
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES)
						.maxMessagesPerRead(READS_PER_TURN))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}
			})
			.bind(address);
		this.listener = bound.channel();
		return bound;
	}

	/**
	 * Stop accepting connections and close those without a request.
	 */
	public void stopAccepting() {
		this.listener.close();
		for (DirectCaller caller : this.callers.toArray(DirectCaller[]::new)) {
			caller.closeIfIdle();
		}
	}

	private void accept(SocketChannel channel) {
		int maxFields = this.context.clients().bounds().headerFields();
		CallerInput input = new CallerInput(() -> limits().headerBytes(), maxFields);
		DirectCaller caller = new DirectCaller(this.context, this, input);
		ConnectionGuard guard = new ConnectionGuard(this.context.clients(), Place.LISTEN, this.context.clock(), channel,
				0, caller);
		guard.decoder(input.decoder());
		caller.guard(guard);
		if (!guard.open()) {
			channel.close();
			return;
		}
		this.callers.add(caller);
		channel.pipeline()
			.addLast(guard, readRecorder(caller, input, guard), input.decoder(), responseEncoder(caller), caller);
	}

	private static ChannelHandler responseEncoder(DirectCaller caller) {
		return new HttpResponseEncoder() {
			@Override
			protected boolean isContentAlwaysEmpty(HttpResponse response) {
				return caller.answersHead() || super.isContentAlwaysEmpty(response);
			}
		};
	}

	private static ChannelHandler readRecorder(DirectCaller caller, CallerInput input, ConnectionGuard guard) {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext ctx, Object message) {
				input.applyLimit(ctx.pipeline());
				guard.decoder(input.decoder());
				ctx.fireChannelRead(message);
				caller.bytesRead();
				// Chunks are decoded in small parts, so that chunks of one byte of many
				// connections do not delay the others.
				if (input.decoder().chunksDue()) {
					ctx.channel().unsafe().recvBufAllocHandle().incMessagesRead(READS_PER_TURN);
				}
			}
		};
	}

	private RequestLimits limits() {
		return this.context.config().map(TrafficConfig::limits).orElse(DEFAULT_LIMITS);
	}

	int maxBodyBytes() {
		return limits().bodyBytes();
	}

	CallerEnds ends() {
		return this.ends;
	}

	UnservedRequests unserved() {
		return this.unserved;
	}

	/**
	 * Log the requests that are cut off, and the responses that are not written, because
	 * the process ends.
	 */
	public void logUnserved() {
		this.callers.forEach((caller) -> caller.logUnserved(CallerEnds.Cause.STOPPED, "the router stops"));
	}

	void closed(DirectCaller caller) {
		this.callers.remove(caller);
	}

	/**
	 * Check the time limits of idle connections and of bodies. Called a few times a
	 * second.
	 */
	public void tick() {
		this.ends.tick();
		this.unserved.tick();
		RequestLimits limits = limits();
		this.context.bodyBudget().tick(this.context.now());
		// The default limits are not told to callers.
		long idleMs = this.context.config().isEmpty() ? limits.idleTimeoutMs()
				: this.idleLimit.inForceMs(limits.idleTimeoutMs(), this.context.now());
		for (DirectCaller caller : this.callers.toArray(DirectCaller[]::new)) {
			caller.tick(limits.headerTimeoutMs(), idleMs);
		}
	}

	/**
	 * Return the number of open connections.
	 * @return the number, at least 0
	 */
	public int connections() {
		return this.callers.size();
	}

}

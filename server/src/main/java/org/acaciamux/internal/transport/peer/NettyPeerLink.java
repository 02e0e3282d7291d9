package org.acaciamux.internal.transport.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.Heartbeat;
import org.acaciamux.internal.protocol.OutstandingRequests;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Ping;
import org.acaciamux.internal.protocol.wire.Pong;
import org.acaciamux.internal.state.GuardedTask;
import org.acaciamux.internal.state.OrderedTasks;

/**
 * A link over a Netty channel. Pings and pongs are handled here; all other frames go to
 * the frame handler on the worker pool, one at a time and in order. Reading pauses while
 * many frames wait to be handled, which limits the memory that a slow process uses for
 * them. Invariant: heartbeat and outstanding requests are only touched on the channel's
 * event loop; close actions run exactly once. Thread-safe.
 */
final class NettyPeerLink extends SimpleChannelInboundHandler<Frame> implements PeerLink {

	private static final int PAUSE_READING_AT_FRAMES = 1_024;

	private static final long TICK_MS = 250;

	private final PeerContext context;

	private final Channel channel;

	private final PeerIdentity peer;

	private final OrderedTasks tasks;

	private final Heartbeat heartbeat;

	private final OutstandingRequests outstanding = new OutstandingRequests();

	private final List<Consumer<String>> closeActions = new ArrayList<>();

	private volatile String closeReason = "connection closed by the other side";

	/**
	 * Whether a frame was sent since the last one arrived. Control frames get no answer,
	 * so without a ping a peer that hangs would go unnoticed.
	 */
	private boolean awaitsAnyFrame;

	private volatile Runnable writableAction;

	private boolean closed;

	private ScheduledFuture<?> ticker;

	NettyPeerLink(PeerContext context, Channel channel, PeerIdentity peer) {
		this.context = context;
		this.channel = channel;
		this.peer = peer;
		this.tasks = new OrderedTasks(context.workers);
		this.heartbeat = new Heartbeat(context.clock.nanoTime());
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context.metrics.links.inc();
		EventLog.log(PeerEvent.LINK_OPENED, this.peer.id(), this.peer.version());
		this.ticker = ctx.executor().scheduleWithFixedDelay(guardedTick(), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public PeerIdentity peer() {
		return this.peer;
	}

	@Override
	public void send(Frame frame) {
		if (this.channel.eventLoop().inEventLoop()) {
			write(frame);
			return;
		}
		this.channel.eventLoop().execute(() -> write(frame));
	}

	private void write(Frame frame) {
		this.outstanding.note(frame);
		this.awaitsAnyFrame = true;
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

	@Override
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	@Override
	public void onWritable(Runnable action) {
		this.writableAction = action;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		Runnable action = this.writableAction;
		if (action != null && this.channel.isWritable()) {
			this.tasks.add(action);
		}
		ctx.fireChannelWritabilityChanged();
	}

	@Override
	public boolean isOpen() {
		return this.channel.isActive();
	}

	@Override
	public void onClose(Consumer<String> action) {
		synchronized (this.closeActions) {
			if (!this.closed) {
				this.closeActions.add(action);
				return;
			}
		}
		action.accept(this.closeReason);
	}

	@Override
	public void close(String reason) {
		this.closeReason = reason;
		this.channel.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
		this.heartbeat.resetSilence(this.context.clock.nanoTime());
		this.awaitsAnyFrame = false;
		switch (frame.getBodyCase()) {
			case PING ->
				send(Frame.newBuilder().setPong(Pong.newBuilder().setNonce(frame.getPing().getNonce())).build());
			case PONG -> {
			}
			default -> deliver(frame);
		}
	}

	private void deliver(Frame frame) {
		this.outstanding.note(frame);
		int waiting = this.tasks.add(() -> this.context.frameHandler.handle(this, frame));
		if (waiting >= PAUSE_READING_AT_FRAMES && this.channel.config().isAutoRead()) {
			this.channel.config().setAutoRead(false);
		}
	}

	private GuardedTask guardedTick() {
		return new GuardedTask(this::tick, (ex) -> close("a periodic check failed: " + ex));
	}

	private void tick() {
		if (!this.channel.config().isAutoRead()) {
			resumeReading();
			return;
		}
		boolean busy = this.awaitsAnyFrame || !this.outstanding.isEmpty();
		switch (this.heartbeat.tick(this.context.clock.nanoTime(), busy)) {
			case PING -> send(Frame.newBuilder().setPing(Ping.newBuilder()).build());
			case DECLARE_SILENT -> declareSilent();
			case NONE -> {
			}
		}
	}

	private void resumeReading() {
		// While reading is paused, frames may wait unread in the socket, so the peer does
		// not count as silent.
		this.heartbeat.resetSilence(this.context.clock.nanoTime());
		if (this.tasks.size() < PAUSE_READING_AT_FRAMES / 2) {
			this.channel.config().setAutoRead(true);
		}
	}

	private void declareSilent() {
		this.context.metrics.silentLinks.inc();
		EventLog.log(PeerEvent.LINK_SILENT, this.peer.id());
		close("silent: a ping got no answer");
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.ticker.cancel(false);
		this.context.metrics.links.dec();
		EventLog.log(PeerEvent.LINK_CLOSED, this.peer.id(), this.closeReason);
		// Close actions run after the frames that arrived before the connection ended.
		this.tasks.add(this::runCloseActions);
	}

	private void runCloseActions() {
		List<Consumer<String>> actions;
		synchronized (this.closeActions) {
			this.closed = true;
			actions = List.copyOf(this.closeActions);
			this.closeActions.clear();
		}
		actions.forEach((action) -> action.accept(this.closeReason));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		PeerPipeline.reportMalformed(this.context, ctx.channel(), cause);
		close("malformed frame or connection error: " + cause.getMessage());
	}

}

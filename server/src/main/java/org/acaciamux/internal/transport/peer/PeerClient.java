package org.acaciamux.internal.transport.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.vavr.control.Either;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.Handshake;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;
import org.acaciamux.internal.state.WorkerPool;

/**
 * Opens links to other processes and shares each link among its users. Invariants: the
 * table holds at most one link or connection attempt per VM; a closed link is not
 * returned again. Thread-safe.
 */
public final class PeerClient implements PeerLinks {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int HANDSHAKE_TIMEOUT_MS = 2_000;

	private static final long RETRY_AFTER_MS = 1_000;

	private final PeerContext context;

	private final EventLoopGroup group;

	private final RankedLock lock = new RankedLock(LockRank.LINK_TABLE);

	private final Map<String, Attempt> attempts = new HashMap<>();

	/**
	 * Create a client.
	 * @param group the event loops
	 * @param handshake identifies this process to its peers
	 * @param frameHandler receives the frames of all links
	 * @param workers the worker pool
	 * @param clock the monotonic clock
	 * @param registry where metrics are registered
	 */
	public PeerClient(EventLoopGroup group, Handshake handshake, FrameHandler frameHandler, WorkerPool workers,
			NanoClock clock, MetricRegistry registry) {
		this.group = group;
		this.context = new PeerContext(handshake, frameHandler, workers, clock, registry);
	}

	@Override
	public CompletionStage<Either<Failure, PeerLink>> link(Member member) {
		return attempt(member, false).result;
	}

	@Override
	public CompletionStage<Either<Failure, PeerLink>> replace(Member member) {
		return attempt(member, true).result;
	}

	private Attempt attempt(Member member, boolean replaceEstablished) {
		Attempt candidate = new Attempt(member);
		Attempt chosen = this.lock.get(() -> {
			Attempt existing = this.attempts.get(member.id());
			if (existing != null && existing.isUsableFor(member) && !(replaceEstablished && existing.isEstablished())) {
				return existing;
			}
			this.attempts.put(member.id(), candidate);
			return candidate;
		});
		if (chosen == candidate) {
			connect(candidate);
		}
		return chosen;
	}

	private void connect(Attempt attempt) {
		Bootstrap bootstrap = new Bootstrap();
		bootstrap.group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel ch) {
					PeerPipeline.add(ch.pipeline(), PeerClient.this.context);
					ch.pipeline()
						.addLast("timeout", new ReadTimeoutHandler(HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS));
					ch.pipeline().addLast("hello", new HelloReplyHandler(attempt));
				}
			});
		Member member = attempt.member;
		ChannelFuture connected = bootstrap.connect(member.address(), member.peerPort());
		connected.addListener((future) -> {
			if (!future.isSuccess()) {
				fail(attempt, unreachable(member, String.valueOf(future.cause().getMessage())));
			}
		});
	}

	private void succeed(Attempt attempt, PeerLink link) {
		attempt.ended = true;
		link.onClose((reason) -> remove(attempt));
		complete(attempt, Either.right(link));
	}

	private void fail(Attempt attempt, Failure failure) {
		if (attempt.ended) {
			return;
		}
		attempt.ended = true;
		Member member = attempt.member;
		EventLog.log(PeerEvent.CONNECT_FAILED, member.id(), member.address(), member.peerPort(), failure.detail());
		remove(attempt);
		complete(attempt, Either.left(failure));
	}

	private void complete(Attempt attempt, Either<Failure, PeerLink> result) {
		this.context.workers.execute(() -> attempt.result.complete(result));
	}

	private void remove(Attempt attempt) {
		this.lock.run(() -> this.attempts.remove(attempt.member.id(), attempt));
	}

	private static Failure unreachable(Member member, String reason) {
		return Failure.notRun(FailureCode.AGENT_UNREACHABLE, "VM " + member.id() + " at " + member.address() + ":"
				+ member.peerPort() + " could not be reached: " + reason, RETRY_AFTER_MS);
	}

	private static final class Attempt {

		private final Member member;

		private final CompletableFuture<Either<Failure, PeerLink>> result = new CompletableFuture<>();

		/**
		 * Whether the result is decided, which a worker reports later. Confined to the
		 * connection's event loop.
		 */
		private boolean ended;

		private Attempt(Member member) {
			this.member = member;
		}

		private boolean isUsableFor(Member other) {
			boolean sameAddress = this.member.address().equals(other.address())
					&& this.member.peerPort() == other.peerPort();
			return sameAddress && (!this.result.isDone() || this.result.join().exists(PeerLink::isOpen));
		}

		private boolean isEstablished() {
			return this.result.isDone();
		}

	}

	private final class HelloReplyHandler extends SimpleChannelInboundHandler<Frame> {

		private final Attempt attempt;

		private HelloReplyHandler(Attempt attempt) {
			this.attempt = attempt;
		}

		@Override
		public void channelActive(ChannelHandlerContext ctx) {
			Frame hello = Frame.newBuilder().setHello(PeerClient.this.context.handshake.hello()).build();
			ctx.writeAndFlush(hello);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
			if (!frame.hasHelloReply()) {
				fail(this.attempt, unreachable(this.attempt.member, "first frame is " + frame.getBodyCase()));
				ctx.close();
				return;
			}
			Member member = this.attempt.member;
			PeerClient.this.context.handshake.accept(frame.getHelloReply(), member.id(), member.role())
				.peek((peer) -> establish(ctx, peer))
				.peekLeft((failure) -> refuse(ctx, failure));
		}

		private void establish(ChannelHandlerContext ctx, PeerLink.PeerIdentity peer) {
			NettyPeerLink link = new NettyPeerLink(PeerClient.this.context, ctx.channel(), peer);
			ctx.pipeline().remove("timeout");
			ctx.pipeline().replace(this, "link", link);
			succeed(this.attempt, link);
		}

		private void refuse(ChannelHandlerContext ctx, Failure failure) {
			PeerClient.this.context.metrics.refusedHandshakes.inc();
			EventLog.log(PeerEvent.HANDSHAKE_REFUSED, this.attempt.member.id(), failure.detail());
			fail(this.attempt, failure);
			ctx.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			fail(this.attempt, unreachable(this.attempt.member, "connection closed during the handshake"));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			fail(this.attempt, unreachable(this.attempt.member, "handshake failed: " + cause));
			ctx.close();
		}

	}

}

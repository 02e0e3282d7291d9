package org.acaciamux.internal.process;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;

import org.acaciamux.internal.BrokenInvariant;
import org.acaciamux.internal.coordination.membership.ExchangeParts;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.membership.MemberTable;
import org.acaciamux.internal.coordination.membership.MembershipSettings;
import org.acaciamux.internal.coordination.platform.CallBudget;
import org.acaciamux.internal.coordination.platform.HttpObjectStore;
import org.acaciamux.internal.coordination.platform.HttpVmDirectory;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.Handshake;
import org.acaciamux.internal.protocol.ProtocolVersions;
import org.acaciamux.internal.state.WorkerPool;
import org.acaciamux.internal.state.record.RecordTable;
import org.acaciamux.internal.transport.http.PlatformHttpClient;
import org.acaciamux.internal.transport.peer.PeerClient;
import org.acaciamux.internal.transport.peer.PeerServer;
import org.acaciamux.settings.AgentSettings;
import org.acaciamux.settings.Endpoint;
import org.acaciamux.settings.NodeSettings;

/**
 * The parts that routers and agents have in common: threads, links, tables and clients of
 * the platform. Immutable after construction; the parts are thread-safe.
 */
final class ProcessCore implements AutoCloseable {

	private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	private static final int EVENT_LOOPS = 2;

	private static final int PLATFORM_CONNECT_TIMEOUT_MS = 1_000;

	private static final int PLATFORM_CONNECTIONS = 32;

	private static final int PLATFORM_TIMEOUT_MS = 2_000;

	final NodeSettings settings;

	final long incarnation = new SecureRandom().nextLong();

	final NanoClock clock = SystemNanoClock.INSTANCE;

	final EpochClock epochClock = SystemEpochClock.INSTANCE;

	final MetricRegistry registry = new MetricRegistry();

	final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());

	final WorkerPool workers;

	final FrameDispatcher dispatcher;

	final PeerServer peerServer;

	final PeerClient peerClient;

	final HttpObjectStore store;

	final HttpVmDirectory vms;

	final RecordTable records = new RecordTable();

	final MemberTable members;

	private final PlatformHttpClient objectClient;

	private final PlatformHttpClient vmClient;

	ProcessCore(NodeSettings settings) {
		this.settings = settings;
		this.workers = new WorkerPool("acaciamux-worker", settings.workers(), ProcessCore::onTaskError);
		this.dispatcher = new FrameDispatcher(this.registry);
		Handshake handshake = new Handshake(settings.id(), settings.role().text(), this.incarnation,
				ProtocolVersions.SUPPORTED);
		this.peerServer = new PeerServer(this.group, handshake, this.dispatcher, this.workers, this.clock,
				this.registry);
		this.peerClient = new PeerClient(this.group, handshake, this.dispatcher, this.workers, this.clock,
				this.registry);
		this.objectClient = platformClient(settings.platform().objects());
		this.vmClient = platformClient(settings.platform().vms());
		int rate = settings.platform().callsPerSecond();
		CallBudget budget = new CallBudget(this.clock, rate, rate);
		this.store = new HttpObjectStore(this.objectClient, budget, PLATFORM_TIMEOUT_MS);
		this.vms = new HttpVmDirectory(this.vmClient, budget, PLATFORM_TIMEOUT_MS);
		this.members = new MemberTable(settings.id(), MembershipSettings.defaults(), this.clock, this.registry);
	}

	/**
	 * Create a random generator. Generators are not thread-safe, so each part of the
	 * process uses its own.
	 * @return the generator
	 */
	RandomGenerator newRandom() {
		return RandomGenerator.of(RANDOM_ALGORITHM);
	}

	/**
	 * Return the member that represents this process to others.
	 * @param peerPort the port to which the peer server is bound
	 * @return the member
	 */
	Member self(int peerPort) {
		String pool = this.settings.agent().map(AgentSettings::pool).orElse("");
		return new Member(this.settings.id(), this.settings.role().text(), this.settings.peer().address(), peerPort,
				this.settings.region(), this.settings.failureDomain(), pool, MemberState.LIVE, 0);
	}

	ExchangeParts exchangeParts() {
		return new ExchangeParts(this.peerClient, this.clock, newRandom(), this.registry, this.workers::execute);
	}

	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime());
	}

	private PlatformHttpClient platformClient(Endpoint endpoint) {
		return new PlatformHttpClient(this.group, endpoint.toSocketAddress(), PLATFORM_CONNECT_TIMEOUT_MS,
				PLATFORM_CONNECTIONS);
	}

	static int portOf(ChannelFuture bound) {
		return ((InetSocketAddress) bound.channel().localAddress()).getPort();
	}

	private static void onTaskError(Throwable error) {
		if (error instanceof BrokenInvariant) {
			EventLog.log(ProcessEvent.INVARIANT_BROKEN, error, error.getMessage());
			ExitCode.BROKEN_INVARIANT.halt();
		}
		EventLog.log(ProcessEvent.TASK_FAILED, error, error);
	}

	@Override
	public void close() {
		this.peerServer.close();
		this.workers.close();
		this.objectClient.close();
		this.vmClient.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}

package org.acaciamux.internal.transport.peer;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import org.agrona.concurrent.SystemNanoClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.quarantine.SuspectTable;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.Handshake;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.ProtocolVersions;
import org.acaciamux.internal.protocol.wire.Credit;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.LoadExchange;
import org.acaciamux.internal.protocol.wire.SuspectEntry;
import org.acaciamux.internal.state.WorkerPool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;

/**
 * Guards against frames out of order, a second link to the same peer, closed links that
 * are returned again, peers without a common version, and malformed bytes that keep a
 * connection open.
 */
public class PeerTransportTests {

	private static final long WAIT_SECONDS = 30;

	/** Connections of which some would show an order that is rare. */
	private static final int REFUSALS = 2_000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final WorkerPool workers = new WorkerPool("test", 2, (error) -> {
	});

	private final MetricRegistry registry = new MetricRegistry();

	@AfterClass
	public void stop() {
		this.workers.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void framesArriveInTheOrderSent() throws Exception {
		BlockingQueue<Frame> received = new ArrayBlockingQueue<>(200);
		int port = listen("agent-1", 1, (link, frame) -> received.add(frame));
		PeerLink link = client(1).link(member("agent-1", port)).toCompletableFuture().get().get();
		for (int i = 0; i < 100; i++) {
			link.send(credit(i));
		}
		for (int i = 0; i < 100; i++) {
			assertEquals(received.poll(WAIT_SECONDS, TimeUnit.SECONDS), credit(i));
		}
	}

	/**
	 * A crash of a loaded server leaves a record for each request, and what does not fit
	 * a buffer must not be cut short.
	 */
	@Test
	public void frameWithAFullTableOfSuspectsArrivesWhole() throws Exception {
		BlockingQueue<Frame> received = new ArrayBlockingQueue<>(1);
		int port = listen("agent-1", 1, (link, frame) -> received.add(frame));
		LoadExchange.Builder exchange = LoadExchange.newBuilder().setPool("p");
		for (long i = 0; i < SuspectTable.LIMIT; i++) {
			exchange.addSuspects(SuspectEntry.newBuilder().setFingerprint(i).setCrashesAlone(2).setTtlMs(600_000));
		}
		Frame sent = Frame.newBuilder().setLoadExchange(exchange).build();
		client(1).link(member("agent-1", port)).toCompletableFuture().get().get().send(sent);
		assertEquals(received.poll(WAIT_SECONDS, TimeUnit.SECONDS), sent);
	}

	@Test
	public void oneLinkIsShared() throws Exception {
		int port = listen("agent-1", 1, (link, frame) -> {
		});
		PeerClient client = client(1);
		PeerLink first = client.link(member("agent-1", port)).toCompletableFuture().get().get();
		PeerLink second = client.link(member("agent-1", port)).toCompletableFuture().get().get();
		assertSame(first, second);
	}

	@Test
	public void aClosedLinkIsNotReturnedAgain() throws Exception {
		int port = listen("agent-1", 1, (link, frame) -> {
		});
		PeerClient client = client(1);
		PeerLink first = client.link(member("agent-1", port)).toCompletableFuture().get().get();
		BlockingQueue<String> closed = new ArrayBlockingQueue<>(1);
		first.onClose(closed::add);
		first.close("test");
		closed.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		PeerLink second = client.link(member("agent-1", port)).toCompletableFuture().get().get();
		assertNotSame(first, second);
	}

	@Test
	public void aPeerWithoutACommonVersionIsRefused() throws Exception {
		int port = listen("agent-1", 2, (link, frame) -> {
		});
		Either<Failure, PeerLink> result = client(1).link(member("agent-1", port)).toCompletableFuture().get();
		assertEquals(result.getLeft().code(), FailureCode.VERSION_MISMATCH);
	}

	/**
	 * The connection closes after the refusal, and that was reported instead when the
	 * workers ran the two reports in another order.
	 */
	@Test
	public void closeAfterARefusalDoesNotReplaceItsReason() throws Exception {
		int port = listen("agent-1", 2, (link, frame) -> {
		});
		PeerClient client = client(1);
		for (int i = 0; i < REFUSALS; i++) {
			Either<Failure, PeerLink> result = client.link(member("agent-1", port)).toCompletableFuture().get();
			assertEquals(result.getLeft().code(), FailureCode.VERSION_MISMATCH, "connection " + i);
		}
	}

	@Test
	public void malformedBytesCloseTheirConnectionAndAreCounted() throws Exception {
		int port = listen("agent-1", 1, (link, frame) -> {
		});
		long before = this.registry.counter("acaciamux.peer.malformed-frames").getCount();
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.getOutputStream().write(new byte[] { 0, 0, 0, 3, -1, -1, -1 });
			socket.getOutputStream().flush();
			assertEquals(socket.getInputStream().read(), -1);
		}
		assertEquals(this.registry.counter("acaciamux.peer.malformed-frames").getCount(), before + 1);
	}

	private int listen(String id, int version, FrameHandler handler) {
		PeerServer server = new PeerServer(this.group, handshake(id, version), handler, this.workers,
				SystemNanoClock.INSTANCE, this.registry);
		InetSocketAddress bound = (InetSocketAddress) server.bind(new InetSocketAddress("127.0.0.1", 0))
			.syncUninterruptibly()
			.channel()
			.localAddress();
		return bound.getPort();
	}

	private PeerClient client(int version) {
		return new PeerClient(this.group, handshake("router-1", version), (link, frame) -> {
		}, this.workers, SystemNanoClock.INSTANCE, this.registry);
	}

	private static Handshake handshake(String id, int version) {
		return new Handshake(id, Member.AGENT, 7, new ProtocolVersions(version, version));
	}

	private static Frame credit(int bytes) {
		return Frame.newBuilder().setCredit(Credit.newBuilder().setBytes(bytes)).build();
	}

	private static Member member(String id, int port) {
		return new Member(id, Member.AGENT, "127.0.0.1", port, "r", "d", "p", MemberState.LIVE, 0);
	}

}

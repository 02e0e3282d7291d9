package org.acaciamux.internal.transport.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.agrona.concurrent.SystemNanoClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.protocol.Handshake;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.ProtocolVersions;
import org.acaciamux.internal.protocol.wire.Chunk;
import org.acaciamux.internal.protocol.wire.Credit;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Hello;
import org.acaciamux.internal.state.WorkerPool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against responses that an agent counts as sent and drops when it ends, because
 * their router reads late.
 */
public class FramesLostAtShutdownTests {

	private static final int WAIT_S = 20;

	private static final int CHUNK_BYTES = 32 << 10;

	private static final int RECEIVE_BUFFER_BYTES = 256 << 10;

	private static final int READS_AFTER_MS = 300;

	private final BlockingQueue<PeerLink> links = new LinkedBlockingQueue<>();

	private EventLoopGroup group;

	private WorkerPool workers;

	private PeerServer server;

	private InetSocketAddress address;

	@BeforeMethod
	public void listen() {
		this.links.clear();
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.workers = new WorkerPool("test", 1, (error) -> {
		});
		Handshake handshake = new Handshake("agent-1", Member.AGENT, 7, new ProtocolVersions(1, 1));
		this.server = new PeerServer(this.group, handshake, (link, frame) -> this.links.add(link), this.workers,
				SystemNanoClock.INSTANCE, new MetricRegistry());
		this.address = (InetSocketAddress) this.server.bind(new InetSocketAddress("127.0.0.1", 0))
			.syncUninterruptibly()
			.channel()
			.localAddress();
	}

	@AfterMethod
	public void stop() {
		stopProcess();
	}

	@Test
	public void endOfAResponseReachesARouterThatReadsLate() throws Exception {
		try (Socket router = new Socket()) {
			// Small enough to fill the buffers of both sides soon.
			router.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			router.connect(this.address);
			router.setSoTimeout(WAIT_S * 1_000);
			int chunks = fillLink(router);
			CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopProcess);
			Thread.sleep(READS_AFTER_MS);
			assertEquals(readToEnd(router), "chunks " + chunks + ", ends 1, java.io.EOFException");
			stopped.get(WAIT_S, TimeUnit.SECONDS);
		}
	}

	/**
	 * Stop the parts in the order in which a process does.
	 */
	private void stopProcess() {
		this.server.close();
		this.workers.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Send chunks until the link is not writable, then the end.
	 */
	private int fillLink(Socket router) throws Exception {
		send(router,
				Frame.newBuilder()
					.setHello(Hello.newBuilder().setMinVersion(1).setMaxVersion(1).setRole("router").setId("router-1"))
					.build());
		send(router, Frame.newBuilder().setCredit(Credit.newBuilder()).build());
		PeerLink link = this.links.poll(WAIT_S, TimeUnit.SECONDS);
		Frame chunk = Frame.newBuilder()
			.setChunk(Chunk.newBuilder().setData(ByteString.copyFrom(new byte[CHUNK_BYTES])))
			.build();
		int chunks = 0;
		while (link.isWritable()) {
			link.send(chunk);
			chunks++;
			this.group.submit(() -> {
			}).sync();
		}
		link.send(Frame.newBuilder().setEnd(End.newBuilder()).build());
		assertTrue(chunks > 0);
		return chunks;
	}

	private static void send(Socket router, Frame frame) throws IOException {
		DataOutputStream out = new DataOutputStream(router.getOutputStream());
		byte[] bytes = frame.toByteArray();
		out.writeInt(bytes.length);
		out.write(bytes);
	}

	private static String readToEnd(Socket router) throws IOException {
		DataInputStream in = new DataInputStream(router.getInputStream());
		int chunks = 0;
		int ends = 0;
		try {
			while (true) {
				byte[] bytes = new byte[in.readInt()];
				in.readFully(bytes);
				Frame frame = Frame.parseFrom(bytes);
				chunks += frame.hasChunk() ? 1 : 0;
				ends += frame.hasEnd() ? 1 : 0;
			}
		}
		catch (IOException ex) {
			return "chunks " + chunks + ", ends " + ends + ", " + ex;
		}
	}

}

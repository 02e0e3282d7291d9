package org.acaciamux.internal.transport.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.admission.Backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against broken-off responses that are taken for complete, a pause that does not
 * stop the backend server from sending, and calls that may not be repeated on used
 * connections. Uses sockets on the loopback address.
 */
public class BackendClientTests {

	private static final int WAIT_S = ScriptedServer.WAIT_S;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	@AfterClass
	public void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void aChunkedResponseArrivesCompleteAndTheConnectionIsUsedAgain() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			BackendClient client = client(server.port(), false);
			for (int i = 0; i < 2; i++) {
				CollectedResponse response = new CollectedResponse();
				client.start(request("id-" + i, true), response);
				Socket socket = server.accepted(i == 0);
				server.readRequest(socket);
				ScriptedServer.send(socket,
						"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Kept: yes\r\nAcaciamux-Request-Id: id-" + i
								+ "\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
				assertEquals(response.outcome(), "end");
				assertEquals(response.body.toStringUtf8(), "hello world");
				assertEquals(response.headers.get(0).getName().toLowerCase(), "x-kept");
			}
			client.close();
		}
	}

	@Test
	public void aRefusedConnectionIsReportedAsNotSent() throws Exception {
		int port;
		try (ScriptedServer server = new ScriptedServer()) {
			port = server.port();
		}
		BackendClient client = client(port, false);
		assertEquals(start(client, true).outcome(), "NOT_SENT");
		assertEquals(probe(client).state(), Backend.Health.State.REFUSED);
	}

	@Test
	public void aResponseThatBreaksOffIsNotTakenForComplete() throws Exception {
		String[] heads = { "", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" };
		for (String head : heads) {
			try (ScriptedServer server = new ScriptedServer()) {
				CollectedResponse response = start(client(server.port(), false), true);
				Socket socket = server.accepted(true);
				server.readRequest(socket);
				ScriptedServer.send(socket, head);
				socket.close();
				assertEquals(response.outcome(), "BROKEN_OFF", "after " + head.length() + " bytes");
			}
		}
	}

	/**
	 * Bytes on an idle connection would otherwise be read without end, or be taken for
	 * the response to the next request.
	 */
	@Test
	public void bytesOnAnIdleConnectionCloseIt() throws Exception {
		String[] extras = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", "x".repeat(100_000) };
		for (String extra : extras) {
			try (ScriptedServer server = new ScriptedServer()) {
				BackendClient client = client(server.port(), false);
				CollectedResponse first = start(client, true);
				Socket socket = server.accepted(true);
				server.readRequest(socket);
				ScriptedServer.send(socket,
						"HTTP/1.1 200 OK\r\nAcaciamux-Request-Id: id-1\r\nContent-Length: 4\r\n\r\ngood");
				assertEquals(first.outcome(), "end");
				ScriptedServer.send(socket, extra);
				socket.setSoTimeout(WAIT_S * 1_000);
				assertEquals(readToEnd(socket), -1);
				client.close();
			}
		}
	}

	private static void sendUntilClosed(Socket socket, String text) {
		try {
			ScriptedServer.send(socket, text);
		}
		catch (IOException ex) {
			// The client closed the connection before it had received everything.
		}
	}

	private static int readToEnd(Socket socket) {
		try {
			return socket.getInputStream().read();
		}
		catch (SocketTimeoutException ex) {
			return 0;
		}
		catch (IOException ex) {
			return -1;
		}
	}

	/**
	 * A head that does not end must not occupy memory or the connection.
	 */
	@Test
	public void aHeadWithoutEndIsReportedAsBrokenOff() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = start(client(server.port(), false), true);
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			sendUntilClosed(socket, "HTTP/1.1 200 OK\r\nX-Long: " + "x".repeat(1_000_000));
			assertEquals(response.outcome(), "BROKEN_OFF");
			assertEquals(readToEnd(socket), -1);
		}
	}

	@Test
	public void aMalformedResponseIsReportedAsBrokenOff() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = start(client(server.port(), false), true);
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			ScriptedServer.send(socket, "NONSENSE\r\n\r\n");
			assertEquals(response.outcome(), "BROKEN_OFF");
		}
	}

	@Test
	public void aPausedResponseStopsTheServerFromSending() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = new CollectedResponse();
			Backend.Call call = client(server.port(), false).start(request(true), response);
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			call.pause();
			AtomicLong written = new AtomicLong();
			CompletableFuture<Void> writer = flood(socket, written);
			awaitStall(written);
			long stalledAt = written.get();
			assertTrue(stalledAt < ScriptedServer.FLOOD_BYTES,
					"the server sent everything although reading was paused");
			assertTrue(response.received.get() < 1024 * 1024, "received " + response.received.get());
			call.resume();
			writer.get(WAIT_S, TimeUnit.SECONDS);
			assertEquals(response.outcome(), "end");
			assertEquals(response.received.get(), ScriptedServer.FLOOD_BYTES);
		}
	}

	private static CompletableFuture<Void> flood(Socket socket, AtomicLong written) {
		return CompletableFuture.runAsync(() -> {
			try {
				ScriptedServer.send(socket,
						"HTTP/1.1 200 OK\r\nContent-Length: " + ScriptedServer.FLOOD_BYTES + "\r\n\r\n");
				byte[] block = new byte[64 * 1024];
				while (written.get() < ScriptedServer.FLOOD_BYTES) {
					socket.getOutputStream().write(block);
					written.addAndGet(block.length);
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static void awaitStall(AtomicLong written) throws InterruptedException {
		long before = -1;
		while (before != written.get() || before == 0) {
			before = written.get();
			Thread.sleep(500);
		}
	}

	@Test
	public void aCancelOfAPlainServiceClosesTheConnection() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = new CollectedResponse();
			Backend.Call call = client(server.port(), false).start(request(true), response);
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			call.cancel();
			assertEquals(response.outcome(), "CANCELLED");
			assertEquals(socket.getInputStream().read(), -1);
		}
	}

	@Test
	public void aModelEngineIsAskedToCancelBeforeTheConnectionCloses() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = new CollectedResponse();
			Backend.Call call = client(server.port(), true).start(request(true), response);
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			call.cancel();
			Socket control = server.accepted(true);
			String cancel = server.readRequest(control);
			assertTrue(cancel.startsWith("POST /v1/cancel/id-1 "), cancel);
			assertEquals(response.ends.size(), 0);
			ScriptedServer.send(control, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			assertEquals(response.outcome(), "CANCELLED");
		}
	}

	@Test
	public void aCallThatMayNotBeRepeatedGetsAFreshConnection() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			BackendClient client = client(server.port(), false);
			for (int i = 0; i < 2; i++) {
				CollectedResponse response = start(client, false);
				Socket socket = server.accepted(true);
				server.readRequest(socket);
				ScriptedServer.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
				assertEquals(response.outcome(), "end");
			}
		}
	}

	@Test
	public void aProbeReadsTheIncarnationAndReportsAServerThatDoesNotAnswerAsSilent() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			BackendClient client = client(server.port(), true);
			CompletableFuture<Backend.Health> probe = client.probe().toCompletableFuture();
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			ScriptedServer.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"incarnation\":\"abcd\"}");
			assertEquals(probe.get(WAIT_S, TimeUnit.SECONDS), new Backend.Health(Backend.Health.State.UP, "abcd"));
			assertEquals(probe(client(server.port(), true, 100)).state(), Backend.Health.State.SILENT);
		}
	}

	/**
	 * Guards against a server that counts as down because it accepted no connection while
	 * it paused: only a refusal shows that it is gone.
	 */
	@Test
	public void aConnectionThatIsNotAcceptedInTimeIsSilenceAndNoRefusal() throws Exception {
		try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			List<Socket> waiting = fillBacklog(full);
			BackendSettings settings = new BackendSettings("127.0.0.1", full.getLocalPort(), false, 200, WAIT_S * 1_000,
					64, WAIT_S * 1_000);
			BackendClient client = new BackendClient(this.group, settings);
			assertEquals(probe(client).state(), Backend.Health.State.SILENT);
			assertTrue(start(client, true).outcome().startsWith("NOT_"));
			for (Socket socket : waiting) {
				socket.close();
			}
		}
	}

	private static List<Socket> fillBacklog(ServerSocket server) throws IOException {
		List<Socket> waiting = new ArrayList<>();
		while (true) {
			Socket socket = new Socket();
			waiting.add(socket);
			try {
				socket.connect(server.getLocalSocketAddress(), 500);
			}
			catch (SocketTimeoutException ex) {
				return waiting;
			}
		}
	}

	private BackendClient client(int port, boolean model) {
		return client(port, model, WAIT_S * 1_000);
	}

	// Limits that a test does not exercise are long enough for a busy machine.
	private BackendClient client(int port, boolean model, int probeTimeoutMs) {
		BackendSettings settings = new BackendSettings("127.0.0.1", port, model, WAIT_S * 1_000, probeTimeoutMs, 64,
				WAIT_S * 1_000);
		return new BackendClient(this.group, settings);
	}

	private static Backend.BackendRequest request(boolean repeatable) {
		return request("id-1", repeatable);
	}

	private static Backend.BackendRequest request(String id, boolean repeatable) {
		return new Backend.BackendRequest(id, "normal", repeatable, "POST", "/x", List.of(),
				ByteString.copyFromUtf8("body"));
	}

	private static CollectedResponse start(BackendClient client, boolean repeatable) {
		CollectedResponse response = new CollectedResponse();
		client.start(request(repeatable), response);
		return response;
	}

	private static Backend.Health probe(BackendClient client) throws Exception {
		return client.probe().toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
	}

}

package org.acaciamux.internal.transport.http;

import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.admission.Backend;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a response that broke off and that an agent takes for complete, for each
 * way in which the end of a body may be marked and each way in which a connection may
 * end. Uses sockets on the loopback address.
 */
public class TruncatedBackendResponseTests {

	private static final int WAIT_S = ScriptedServer.WAIT_S;

	private static final Backend.BackendRequest REQUEST = new Backend.BackendRequest("id-1", "normal", true, "POST",
			"/x", List.of(), ByteString.copyFromUtf8("body"));

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	@AfterClass
	public void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * A server that crashes closes its connections in the middle of an event; without
	 * length and chunks nothing else tells that events are missing.
	 */
	@Test
	public void anEventStreamThatEndsInsideAnEventIsReportedAsBrokenOff() throws Exception {
		String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
		for (String body : List.of("data: a\n\nda", "data: a\n\ndata: b", "data: a\n\ndata: b\n")) {
			assertEquals(outcomeOf(head + body), "BROKEN_OFF", body);
		}
		assertEquals(outcomeOf(head + "data: a\n\ndata: b\n\n"), "end");
	}

	@Test
	public void aResponseThatIsShorterThanItsFramingSaysIsReportedAsBrokenOff() throws Exception {
		for (String framing : List.of("Content-Length: 10\r\n\r\n0123456789",
				"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n4\r\nhalf\r\n0\r\nX-Trailer: 1\r\n\r\n")) {
			String response = "HTTP/1.1 200 OK\r\n" + framing;
			for (int length = 0; length < response.length(); length++) {
				assertEquals(outcomeOf(response.substring(0, length)), "BROKEN_OFF", length + " bytes of " + framing);
			}
			assertEquals(outcomeOf(response), "end");
		}
	}

	/**
	 * The body would be passed on without its coding.
	 */
	@Test
	public void aResponseWithAnotherTransferCodingIsReportedAsBrokenOff() throws Exception {
		for (String coding : List.of("gzip\r\n\r\nhalf", "gzip, chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n")) {
			assertEquals(outcomeOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding), "BROKEN_OFF", coding);
		}
	}

	private String outcomeOf(String bytes) throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = start(client(server));
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			ScriptedServer.send(socket, bytes);
			socket.close();
			return response.outcome();
		}
	}

	/**
	 * The agent closes the connection to cancel a request; that must not be taken for the
	 * end of a response that ends with its connection. The response of a call with an
	 * idempotency key would otherwise be kept and given to those who repeat the call.
	 */
	@Test
	public void aCancelledResponseWithoutLengthIsNotComplete() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = new CollectedResponse();
			Backend.Call call = client(server).start(REQUEST, response);
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			ScriptedServer.send(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
			response.awaitBytes(4);
			call.cancel();
			assertEquals(response.outcome(), "CANCELLED");
		}
	}

	/**
	 * Event loops close their connections when they shut down.
	 */
	@Test
	public void aResponseWithoutLengthIsNotCompleteBecauseTheAgentStops() throws Exception {
		EventLoopGroup stopping = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = start(client(stopping, server));
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			ScriptedServer.send(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
			response.awaitBytes(4);
			stopping.shutdownGracefully(0, WAIT_S, TimeUnit.SECONDS);
			assertEquals(response.outcome(), "BROKEN_OFF");
		}
	}

	@Test
	public void aResponseWithoutLengthThatIsResetIsReportedAsBrokenOff() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			CollectedResponse response = start(client(server));
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			ScriptedServer.send(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
			response.awaitBytes(4);
			socket.setSoLinger(true, 0);
			socket.close();
			assertEquals(response.outcome(), "BROKEN_OFF");
		}
	}

	/**
	 * Another engine would continue the chat with a part of its cache; nothing shows that
	 * such an export is whole.
	 */
	@Test
	public void aCacheExportThatEndsWithItsConnectionIsNotUsed() throws Exception {
		try (ScriptedServer server = new ScriptedServer()) {
			BackendSettings settings = new BackendSettings("127.0.0.1", server.port(), true, WAIT_S * 1_000,
					WAIT_S * 1_000, 64, WAIT_S * 1_000);
			CompletionStage<Optional<ByteString>> export = new BackendClient(this.group, settings).exportChat("chat-1");
			Socket socket = server.accepted(true);
			server.readRequest(socket);
			ScriptedServer.send(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
			socket.close();
			assertEquals(export.toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS), Optional.empty());
		}
	}

	private BackendClient client(ScriptedServer server) {
		return client(this.group, server);
	}

	private static BackendClient client(EventLoopGroup group, ScriptedServer server) {
		BackendSettings settings = new BackendSettings("127.0.0.1", server.port(), false, WAIT_S * 1_000,
				WAIT_S * 1_000, 64, WAIT_S * 1_000);
		return new BackendClient(group, settings);
	}

	private static CollectedResponse start(BackendClient client) {
		CollectedResponse response = new CollectedResponse();
		client.start(REQUEST, response);
		return response;
	}

}

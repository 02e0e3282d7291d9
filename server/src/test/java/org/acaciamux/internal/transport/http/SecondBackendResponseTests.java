package org.acaciamux.internal.transport.http;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.admission.Backend;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a second response to an earlier request that is taken for the response
 * to the next request on the connection. Uses sockets on the loopback address.
 */
public class SecondBackendResponseTests {

	private static final int WAIT_S = ScriptedServer.WAIT_S;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	@AfterClass
	public void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@DataProvider
	public Object[][] secondResponses() {
		Object[][] cases = new Object[Moment.values().length * 4][];
		int next = 0;
		for (Moment moment : Moment.values()) {
			for (int status : new int[] { 200, 500 }) {
				cases[next++] = new Object[] { moment, status, true };
				cases[next++] = new Object[] { moment, status, false };
			}
		}
		return cases;
	}

	@Test(dataProvider = "secondResponses")
	public void aSecondResponseIsNotTakenForTheResponseToTheNextRequest(Moment moment, int firstStatus, boolean named)
			throws Exception {
		AtomicReference<Socket> firstConnection = new AtomicReference<>();
		AnsweringServer.Answer answer = (socket, head) -> {
			String id = AnsweringServer.header(head, "acaciamux-request-id", "");
			if (!id.equals("id-1")) {
				AnsweringServer.sendIfOpen(firstConnection.get(), moment.inUse(response(200, "id-1", named)));
				ScriptedServer.send(socket, response(200, id, named));
				return;
			}
			firstConnection.set(socket);
			ScriptedServer.send(socket, response(firstStatus, id, named) + moment.atOnce(response(200, id, named)));
		};
		try (AnsweringServer server = new AnsweringServer(answer)) {
			BackendClient client = client(server);
			assertOwn(start(client, "id-1"), "id-1");
			CollectedResponse second = start(client, "id-2");
			if (!second.outcome().equals("BROKEN_OFF")) {
				assertEquals(second.body.toStringUtf8(), "for id-2");
			}
			assertOwn(start(client, "id-3"), "id-3");
			client.close();
		}
	}

	/**
	 * Only a response that names its request shows that no later response on its
	 * connection can be mistaken for another one.
	 */
	@Test
	public void aConnectionIsReusedOnlyIfTheServerNamesTheRequest() throws Exception {
		for (boolean named : new boolean[] { true, false }) {
			try (AnsweringServer server = new AnsweringServer((socket, head) -> ScriptedServer.send(socket,
					response(200, AnsweringServer.header(head, "acaciamux-request-id", ""), named)))) {
				BackendClient client = client(server);
				for (int i = 1; i <= 3; i++) {
					assertOwn(start(client, "id-" + i), "id-" + i);
				}
				assertEquals(server.connections(), named ? 1 : 3);
				client.close();
			}
		}
	}

	/**
	 * The id could not tell a second response to the first of the two requests from the
	 * response to the other one.
	 */
	@Test
	public void aRequestIsNotSentOnAConnectionThatHasCarriedItsId() throws Exception {
		try (AnsweringServer server = new AnsweringServer(
				(socket, head) -> ScriptedServer.send(socket, response(200, "id-1", true)))) {
			BackendClient client = client(server);
			assertOwn(start(client, "id-1"), "id-1");
			assertOwn(start(client, "id-1"), "id-1");
			assertEquals(server.connections(), 2);
			client.close();
		}
	}

	@Test
	public void aResponseThatNamesAnotherRequestIsNotPassedOn() throws Exception {
		try (AnsweringServer server = new AnsweringServer(
				(socket, head) -> ScriptedServer.send(socket, response(200, "id-9", true)))) {
			CollectedResponse response = start(client(server), "id-1");
			assertEquals(response.outcome(), "BROKEN_OFF");
			assertEquals(response.body, ByteString.EMPTY);
		}
	}

	/**
	 * A caller must not get a success after the server has reported a failure.
	 */
	@Test
	public void aSuccessAfterAFailureThatNamesNoRequestIsNotPassedOn() throws Exception {
		AnsweringServer.Answer answer = (socket, head) -> {
			String id = AnsweringServer.header(head, "acaciamux-request-id", "");
			String failure = id.equals("id-2") ? response(500, id, false) : "";
			ScriptedServer.send(socket, failure + response(200, id, true));
		};
		try (AnsweringServer server = new AnsweringServer(answer)) {
			BackendClient client = client(server);
			assertOwn(start(client, "id-1"), "id-1");
			CollectedResponse response = start(client, "id-2");
			assertEquals(response.outcome(), "BROKEN_OFF");
			assertEquals(response.body, ByteString.EMPTY);
			client.close();
		}
	}

	@Test
	public void aSecondResponseToAProbeIsNotTakenForTheResponseToARequest() throws Exception {
		AtomicReference<Socket> probed = new AtomicReference<>();
		AnsweringServer.Answer answer = (socket, head) -> {
			String id = AnsweringServer.header(head, "acaciamux-request-id", "");
			if (head.startsWith("GET /v1/health ")) {
				probed.set(socket);
			}
			else {
				AnsweringServer.sendIfOpen(probed.get(), response(200, "the probe", false));
			}
			ScriptedServer.send(socket, response(200, id, false));
		};
		try (AnsweringServer server = new AnsweringServer(answer)) {
			BackendClient client = client(server);
			Backend.Health health = client.probe().toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
			assertEquals(health.state(), Backend.Health.State.UP);
			assertOwn(start(client, "id-1"), "id-1");
			client.close();
		}
	}

	/**
	 * An interim response is not the one to the request, whatever it names.
	 */
	@Test
	public void theResponseAfterAnInterimOneIsPassedOn() throws Exception {
		AnsweringServer.Answer answer = (socket, head) -> {
			String id = AnsweringServer.header(head, "acaciamux-request-id", "");
			ScriptedServer.send(socket, "HTTP/1.1 103 Early Hints\r\n\r\n" + response(200, id, true));
		};
		try (AnsweringServer server = new AnsweringServer(answer)) {
			BackendClient client = client(server);
			assertOwn(start(client, "id-1"), "id-1");
			assertOwn(start(client, "id-2"), "id-2");
			client.close();
		}
	}

	private static void assertOwn(CollectedResponse response, String id) throws InterruptedException {
		assertEquals(response.outcome(), "end");
		assertEquals(response.body.toStringUtf8(), "for " + id);
	}

	private static String response(int status, String id, boolean named) {
		String body = "for " + id;
		return "HTTP/1.1 " + status + " Status\r\n" + (named ? "Acaciamux-Request-Id: " + id + "\r\n" : "")
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private BackendClient client(AnsweringServer server) {
		BackendSettings settings = new BackendSettings("127.0.0.1", server.port(), false, WAIT_S * 1_000,
				WAIT_S * 1_000, 64, WAIT_S * 1_000);
		return new BackendClient(this.group, settings);
	}

	private static CollectedResponse start(BackendClient client, String id) {
		CollectedResponse response = new CollectedResponse();
		client.start(new Backend.BackendRequest(id, "normal", true, "POST", "/x", List.of(),
				ByteString.copyFromUtf8("body")), response);
		return response;
	}

	/**
	 * When the second response to a request arrives.
	 */
	public enum Moment {

		/** In one packet with the first one. */
		AT_ONCE,
		/** While the connection carries the next request. */
		LATE,
		/** Its first bytes before the next request, the others after it. */
		BETWEEN_READS,
		/** Its body after the next request. */
		BETWEEN_HEAD_AND_BODY;

		String atOnce(String response) {
			return response.substring(0, lengthAtOnce(response));
		}

		String inUse(String response) {
			return response.substring(lengthAtOnce(response));
		}

		private int lengthAtOnce(String response) {
			return switch (this) {
				case AT_ONCE -> response.length();
				case LATE -> 0;
				case BETWEEN_READS -> "HTTP/1.1 2".length();
				case BETWEEN_HEAD_AND_BODY -> response.indexOf("\r\n\r\n") + 4;
			};
		}

	}

}

package org.acaciamux.internal.transport.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import org.acaciamux.internal.transport.http.PlatformHttpClient.Reply;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a response that is taken for the one to another call, and against an
 * interim response that is taken for the final one. Uses sockets on the loopback address.
 */
public class PlatformResponseTests {

	private static final int WAIT_S = ScriptedServer.WAIT_S;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	@AfterClass
	public void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void aResponseAfterTheTimeLimitIsNotTakenForTheResponseToTheNextCall() throws Exception {
		AtomicReference<Socket> first = new AtomicReference<>();
		AnsweringServer.Answer answer = (socket, head) -> {
			if (head.startsWith("GET /1 ")) {
				first.set(socket);
				return;
			}
			AnsweringServer.sendIfOpen(first.get(), response("/1"));
			ScriptedServer.send(socket, response("/2"));
		};
		try (AnsweringServer server = new AnsweringServer(answer)) {
			PlatformHttpClient client = client(server);
			Reply late = call(client, "/1", 100);
			assertTrue(late instanceof Reply.NoAnswer, late.toString());
			assertEquals(body(call(client, "/2", WAIT_S * 1_000)), "/2");
			client.close();
		}
	}

	/**
	 * The platform's calls have no id that a response could name, and their connections
	 * are reused.
	 */
	@Test(groups = "known-red")
	public void aSecondResponseIsNotTakenForTheResponseToTheNextCall() throws Exception {
		try (AnsweringServer server = secondResponses()) {
			assertOwnResponses(client(server));
		}
	}

	@Test
	public void aSecondResponseIsNotTakenForTheResponseToTheNextCallWithoutReuse() throws Exception {
		try (AnsweringServer server = secondResponses()) {
			assertOwnResponses(PlatformHttpClient.withoutReuse(this.group,
					new InetSocketAddress("127.0.0.1", server.port()), WAIT_S * 1_000, 8));
		}
	}

	private static AnsweringServer secondResponses() throws IOException {
		AtomicReference<Socket> first = new AtomicReference<>();
		return new AnsweringServer((socket, head) -> {
			String path = head.split(" ")[1];
			if (path.equals("/1")) {
				first.set(socket);
			}
			else {
				AnsweringServer.sendIfOpen(first.get(), response("/1"));
			}
			ScriptedServer.send(socket, response(path));
		});
	}

	private static void assertOwnResponses(PlatformHttpClient client) throws Exception {
		assertEquals(body(call(client, "/1", WAIT_S * 1_000)), "/1");
		assertEquals(body(call(client, "/2", WAIT_S * 1_000)), "/2");
		client.close();
	}

	@Test
	public void anInterimResponseIsNotTakenForTheResponse() throws Exception {
		AnsweringServer.Answer answer = (socket, head) -> ScriptedServer.send(socket,
				"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + response(head.split(" ")[1]));
		try (AnsweringServer server = new AnsweringServer(answer)) {
			PlatformHttpClient client = client(server);
			assertEquals(body(call(client, "/1", WAIT_S * 1_000)), "/1");
			assertEquals(body(call(client, "/2", WAIT_S * 1_000)), "/2");
			client.close();
		}
	}

	private PlatformHttpClient client(AnsweringServer server) {
		return new PlatformHttpClient(this.group, new InetSocketAddress("127.0.0.1", server.port()), WAIT_S * 1_000, 8);
	}

	private static Reply call(PlatformHttpClient client, String path, long timeoutMs) throws Exception {
		return client.call(HttpMethod.GET, path, new byte[0], timeoutMs)
			.toCompletableFuture()
			.get(WAIT_S, TimeUnit.SECONDS);
	}

	private static String body(Reply reply) {
		assertTrue(reply instanceof Reply.Response, reply.toString());
		Reply.Response response = (Reply.Response) reply;
		return (response.status() == 200) ? new String(response.body(), StandardCharsets.US_ASCII)
				: "status " + response.status();
	}

	private static String response(String body) {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

}

package org.acaciamux.process;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.Polling;
import org.acaciamux.internal.protocol.wire.HelloReply;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against invalid input that disturbs other requests: malformed, oversized or
 * incomplete input must be refused with a reason, and other requests must still be
 * served.
 */
public class BadInputTests {

	private static final int BODY_LIMIT = 20_000;

	private static final int HEADER_LIMIT = 4_096;

	private TestFleet fleet;

	@BeforeClass
	void startFleet() {
		this.fleet = TestFleet.create();
		this.fleet.fleet.setLimit("bodyBytes", BODY_LIMIT);
		this.fleet.fleet.setLimit("headerBytes", HEADER_LIMIT);
		this.fleet.fleet.setLimit("requestTimeoutMs", 1_000);
		this.fleet.withRouters(1).withWriterAgents(2, "--token-pause-ms", "20").withOrderingAgents(1, 0).ready();
	}

	@AfterClass(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void unknownPoolIsNamedInTheAnswer() {
		Answer answer = this.fleet.fleet.caller().post(httpPort(), "/pools/no-such-pool/charges", "{}");
		assertRefused(answer, 404, "unknown-pool");
		assertTrue(answer.body().contains("no-such-pool"), answer.toString());
	}

	@Test
	void bodyOverTheLimitIsRefused() {
		Answer answer = this.fleet.fleet.caller().post(httpPort(), TestFleet.CHAT_PATH, "x".repeat(BODY_LIMIT + 1));
		assertRefused(answer, 413, "body-too-large");
	}

	@Test
	void headersOverTheLimitAreRefused() {
		Answer answer = this.fleet.fleet.caller()
			.send("POST", httpPort(), TestFleet.CHAT_PATH, "{}", Map.of("X-Long", "y".repeat(2 * HEADER_LIMIT)));
		// The router did not read the whole header section. It cannot tell whether the
		// call carries a key whose earlier attempt ran, so the outcome is unknown.
		assertProblem(answer, 431, "headers-too-large", "unknown");
	}

	@Test
	void incompleteRequestIsAnsweredWithTimeoutAndClosed() throws IOException {
		try (Socket socket = new Socket("127.0.0.1", httpPort())) {
			socket.setSoTimeout(30_000);
			socket.getOutputStream()
				.write(("POST " + TestFleet.CHAT_PATH + " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"cha")
					.getBytes(StandardCharsets.US_ASCII));
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
		}
		assertServes();
	}

	@Test
	void requestOfDisconnectedCallerIsCancelledInTheEngine() {
		long before = this.fleet.sumOverEngines("cancelled");
		try (TokenStream stream = TokenStream.open(this.fleet, 0, "impatient", 50_000)) {
			stream.readUntil("\"t2\"");
		}
		Polling.await("the engine cancels the request", 30, () -> this.fleet.sumOverEngines("cancelled") > before);
		assertServes();
	}

	@Test
	void twoCallersWithTheSameChatBothGetTheirOwnAnswer() {
		CompletableFuture<Answer> first = chatAsync(20);
		CompletableFuture<Answer> second = chatAsync(35);
		assertTrue(first.join().body().contains("\"t19\"") && !first.join().body().contains("\"t20\""));
		assertTrue(second.join().body().contains("\"t34\"") && !second.join().body().contains("\"t35\""));
	}

	@Test
	void malformedBytesAtThePeerPortCloseOnlyThatConnection() {
		long seed = Long.getLong("acaciamux.seed", 0);
		Random random = new Random(seed);
		Daemon agent = this.fleet.writerAgents.get(0);
		for (int i = 0; i < 5; i++) {
			byte[] noise = new byte[64 + random.nextInt(2000)];
			random.nextBytes(noise);
			assertTrue(PeerCaller.isClosedAfter(agent.peerPort(), noise), "seed " + seed + ", connection " + i);
		}
		assertTrue(PeerCaller.isClosedAfter(agent.peerPort(), new byte[] { 0x7f, 0, 0, 0 }),
				"a frame length of two gigabytes must close the connection");
		assertServes();
	}

	@Test
	void unknownProtocolVersionsAreRefusedWithReasonAndOverlapIsAccepted() {
		int port = this.fleet.writerAgents.get(0).peerPort();
		HelloReply newer = PeerCaller.hello(port, 900, 901);
		assertEquals(newer.getVersion(), 0, newer.toString());
		assertTrue(newer.getReason().length() > 0, newer.toString());
		assertEquals(PeerCaller.hello(port, 0, 0).getVersion(), 0);
		assertTrue(PeerCaller.hello(port, 1, 900).getVersion() >= 1,
				"a version that both sides support must be chosen");
		assertServes();
	}

	private CompletableFuture<Answer> chatAsync(int tokens) {
		return this.fleet.fleet.caller()
			.sendAsync("POST", httpPort(), TestFleet.CHAT_PATH, TestFleet.prompt("shared", tokens),
					TestFleet.chatHeaders("shared"));
	}

	private void assertServes() {
		Answer answer = this.fleet.chat(0, "bystander", 2);
		assertEquals(answer.status(), 200, answer.toString());
	}

	private static void assertRefused(Answer answer, int status, String code) {
		assertProblem(answer, status, code, "not-run");
	}

	private static void assertProblem(Answer answer, int status, String code, String outcome) {
		assertEquals(answer.status(), status, answer.toString());
		assertEquals(answer.json().path("code").asText(), code, answer.toString());
		assertEquals(answer.json().path("outcome").asText(), outcome, answer.toString());
	}

	private int httpPort() {
		return this.fleet.router(0).httpPort();
	}

}

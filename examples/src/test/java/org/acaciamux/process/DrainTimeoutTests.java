package org.acaciamux.process;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.Polling;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.WireOutcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests without an answer when the timeout of a drain ends before them.
 */
public class DrainTimeoutTests {

	private static final long DRAIN_TIMEOUT_MS = 3_000;

	private static final long EXIT_SECONDS = 30;

	private static final int READ_TIMEOUT_MS = 30_000;

	/** Tokens of a stream that lasts longer than the drain of its agent or router. */
	private static final int TOKENS = 150;

	private static final String ONE_AT_A_TIME = """
			apiVersion: acaciamux/v1
			kind: BackendPool
			name: writer
			spec: {model: true, repeatable: true, maxConcurrency: 1}
			""";

	private TestFleet fleet;

	@BeforeMethod
	void startFleet() {
		this.fleet = TestFleet.create();
		this.fleet.fleet.setLimit("drainTimeoutMs", DRAIN_TIMEOUT_MS);
		this.fleet.fleet.writeRecord(ONE_AT_A_TIME);
		this.fleet.withRouters(1).withWriterAgents(1, "--token-pause-ms", "200").ready();
	}

	@AfterMethod(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void routerTellsTheCallerOfAQueuedRequestThatItDidNotRun() throws IOException {
		try (TokenStream stream = TokenStream.open(this.fleet, 0, "long", TOKENS); Socket caller = connect()) {
			stream.readUntil("\"t2\"");
			send(caller, request(TestFleet.prompt("queued", 1)));
			awaitQueued();
			this.fleet.router(0).process().terminate();
			assertRefused(responseOf(caller));
			assertEquals(this.fleet.router(0).process().awaitExit(EXIT_SECONDS), 1);
		}
	}

	@Test
	void routerRefusesARequestOfWhichAPartHasArrived() throws IOException {
		try (TokenStream stream = TokenStream.open(this.fleet, 0, "long", TOKENS); Socket caller = connect()) {
			stream.readUntil("\"t2\"");
			String request = request(TestFleet.prompt("upload", 1));
			send(caller, request.substring(0, request.length() - 1));
			Polling.pause(100);
			this.fleet.router(0).process().terminate();
			assertRefused(responseOf(caller));
		}
	}

	@Test
	void agentRefusesAQueuedRequestAsNotRun() throws IOException {
		Daemon agent = this.fleet.writerAgents.get(0);
		try (TokenStream stream = TokenStream.open(this.fleet, 0, "long", TOKENS);
				PeerConnection router = new PeerConnection(agent.peerPort())) {
			stream.readUntil("\"t2\"");
			router.submitAsLastTrial("writer");
			awaitQueued();
			agent.process().terminate();
			Optional<Refused> refused = router.awaitRefusal();
			assertEquals(refused.map(Refused::getFailureCode), Optional.of("draining"));
			assertEquals(refused.map(Refused::getOutcome), Optional.of(WireOutcome.OUTCOME_NOT_RUN));
			assertEquals(agent.process().awaitExit(EXIT_SECONDS), 1);
		}
	}

	private void awaitQueued() {
		Daemon agent = this.fleet.writerAgents.get(0);
		Polling.await("the agent queues a request", EXIT_SECONDS,
				() -> this.fleet.fleet.caller()
					.get(agent.adminPort(), "/metrics")
					.body()
					.contains("acaciamux_admission_queued 1\n"));
	}

	private static void assertRefused(String response) {
		assertTrue(response.startsWith("HTTP/1.1 503 "), "'" + response + "'");
		assertTrue(response.toLowerCase().contains("acaciamux-outcome: not-run"), response);
		assertTrue(response.toLowerCase().contains("connection: close"), response);
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.fleet.router(0).httpPort());
		socket.setSoTimeout(READ_TIMEOUT_MS);
		return socket;
	}

	private static String request(String body) {
		return "POST " + TestFleet.CHAT_PATH + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	private static void send(Socket caller, String text) throws IOException {
		caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String responseOf(Socket caller) {
		try {
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

}

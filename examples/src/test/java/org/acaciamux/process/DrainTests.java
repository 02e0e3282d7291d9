package org.acaciamux.process;

import java.util.HashSet;
import java.util.Set;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.Polling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that a graceful shutdown interrupts, and against new requests
 * on a leaving VM.
 */
public class DrainTests {

	private static final long DRAIN_SECONDS = 60;

	private static final int TOKENS = 150;

	private TestFleet fleet;

	@BeforeMethod
	void startFleet() {
		this.fleet = TestFleet.create()
			.withRouters(2)
			.withWriterAgents(2, "--token-pause-ms", "20")
			.withOrderingAgents(1, 0)
			.ready();
	}

	@AfterMethod(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void routerFinishesStreamAfterSigterm() {
		try (TokenStream stream = TokenStream.open(this.fleet, 0, "shift-plan", TOKENS)) {
			stream.readUntil("\"t2\"");
			this.fleet.router(0).process().terminate();
			assertComplete(stream);
		}
		assertEquals(this.fleet.router(0).process().awaitExit(DRAIN_SECONDS), 0);
	}

	@Test
	void agentFinishesStreamAfterSigterm() {
		try (TokenStream stream = TokenStream.open(this.fleet, 0, "shift-plan", TOKENS)) {
			stream.readUntil("\"t2\"");
			Daemon agent = this.fleet.agent(stream.server());
			agent.process().terminate();
			assertComplete(stream);
			assertEquals(agent.process().awaitExit(DRAIN_SECONDS), 0);
		}
	}

	@Test
	void leavingVmGetsNoNewRequests() {
		String leaving = this.fleet.writerAgents.get(0).id();
		this.fleet.fleet.markLeaving(leaving);
		Polling.await("a round of chats avoids the leaving VM", 60, () -> !serversOfRound("before").contains(leaving));
		for (int i = 0; i < 3; i++) {
			assertFalse(serversOfRound("after-" + i).contains(leaving), "the leaving VM received a new request");
		}
	}

	private Set<String> serversOfRound(String name) {
		Set<String> servers = new HashSet<>();
		for (int i = 0; i < 10; i++) {
			Answer answer = this.fleet.chat(i % 2, name + "-" + i, 1);
			assertEquals(answer.status(), 200, answer.toString());
			servers.add(answer.header("Acaciamux-Server"));
		}
		return servers;
	}

	private static void assertComplete(TokenStream stream) {
		String text = stream.readAll();
		assertFalse(stream.isBroken(), "the stream broke off after " + text.length() + " characters");
		assertTrue(text.contains("\"t" + (TOKENS - 1) + "\""), "the last token is missing");
		assertTrue(text.endsWith("data: [DONE]\n\n"), "the end mark is missing");
	}

}

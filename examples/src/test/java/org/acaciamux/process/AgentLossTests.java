package org.acaciamux.process;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Caller.Answer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against truncated answers that look complete when an agent is killed during a
 * stream.
 */
public class AgentLossTests {

	private TestFleet fleet;

	@BeforeMethod
	void startFleet() {
		this.fleet = TestFleet.create()
			.withRouters(1)
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
	void streamOfKilledAgentEndsWithVisibleErrorAndChatContinuesOnAnotherServer() {
		try (TokenStream stream = TokenStream.open(this.fleet, 0, "night-plan", 3000)) {
			stream.readUntil("\"t3\"");
			String server = stream.server();
			this.fleet.agent(server).process().kill();
			String text = stream.readAll();
			assertFalse(text.contains("[DONE]"), "the answer of a killed agent must not contain the end mark");
			assertTrue(stream.isBroken() || text.contains("\"code\""),
					"the answer must end with a broken connection or an error");
			Answer next = this.fleet.chat(0, "night-plan", 3);
			assertEquals(next.status(), 200, next.toString());
			assertNotEquals(next.header("Acaciamux-Server"), server);
		}
	}

}

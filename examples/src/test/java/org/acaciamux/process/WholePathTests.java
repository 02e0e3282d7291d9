package org.acaciamux.process;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Caller.Answer;

import static org.testng.Assert.assertTrue;

/**
 * Tests the path of a request through router, agent and backend server and back.
 */
public class WholePathTests {

	private TestFleet fleet;

	@BeforeClass
	void startFleet() {
		this.fleet = TestFleet.create().withRouters(2).withWriterAgents(3).withOrderingAgents(1, 0).ready();
	}

	@AfterClass(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void returningChatFindsItsContextThroughAnotherRouter() {
		Answer first = this.fleet.chat(0, "returning", 5);
		Answer second = this.fleet.chat(1, "returning", 5);
		assertTrue(first.body().contains("\"contextHeld\":false"), first.toString());
		assertTrue(second.body().contains("\"contextHeld\":true"), second + "; routes of the first router: "
				+ this.fleet.recentRoutes(0) + "; of the second: " + this.fleet.recentRoutes(1));
		assertTrue(second.body().endsWith("data: [DONE]\n\n"), second.toString());
	}

}

package org.acaciamux.process;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Daemon;

import static org.testng.Assert.assertEquals;

/**
 * Guards against an agent without work whose drain counts as incomplete because its
 * timeout is shorter than the time in which routers learn that the agent leaves.
 */
public class ShortDrainTimeoutTests {

	private static final long DRAIN_TIMEOUT_MS = 1_000;

	private static final long EXIT_SECONDS = 30;

	private TestFleet fleet;

	@BeforeMethod
	void startFleet() {
		this.fleet = TestFleet.create();
		this.fleet.fleet.setLimit("drainTimeoutMs", DRAIN_TIMEOUT_MS);
		this.fleet.withWriterAgents(1).ready();
	}

	@AfterMethod(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void idleAgentEndsCleanly() {
		Daemon agent = this.fleet.writerAgents.get(0);
		agent.process().terminate();
		assertEquals(agent.process().awaitExit(EXIT_SECONDS), 0);
	}

}

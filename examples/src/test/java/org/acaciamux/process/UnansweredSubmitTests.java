package org.acaciamux.process;

import java.io.IOException;
import java.util.Optional;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.Polling;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.WireOutcome;

import static org.testng.Assert.assertEquals;

/**
 * Guards against requests of unknown outcome because their agent ended before routers
 * could know that it leaves.
 */
public class UnansweredSubmitTests {

	/** Most routers have not asked for the pool's members again after this time. */
	private static final long UNAWARE_MS = 1_000;

	private static final long EXIT_SECONDS = 30;

	private TestFleet fleet;

	@BeforeMethod
	void startFleet() {
		this.fleet = TestFleet.create().withWriterAgents(1).ready();
	}

	@AfterMethod(alwaysRun = true)
	void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	void idleAgentThatLeavesRefusesRequestsOfUnawareRouters() throws IOException {
		Daemon agent = this.fleet.writerAgents.get(0);
		try (PeerConnection router = new PeerConnection(agent.peerPort())) {
			agent.process().terminate();
			Polling.pause(UNAWARE_MS);
			Optional<Refused> refused = router.submitUntilRefused("writer");
			assertEquals(refused.map(Refused::getFailureCode), Optional.of("draining"));
			assertEquals(refused.map(Refused::getOutcome), Optional.of(WireOutcome.OUTCOME_NOT_RUN));
		}
		assertEquals(agent.process().awaitExit(EXIT_SECONDS), 0);
	}

}

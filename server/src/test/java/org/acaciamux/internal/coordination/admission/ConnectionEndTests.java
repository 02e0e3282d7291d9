package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.protocol.wire.RequestId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a response with neither length nor chunks that counts as complete
 * although its server crashed: it would be passed on, clear a crash suspect, and be
 * stored as the answer to a keyed call.
 */
public class ConnectionEndTests {

	private AgentFixture fixture;

	@BeforeMethod
	public void startAgent() {
		this.fixture = new AgentFixture();
	}

	private static boolean complete(AgentFixture fixture, RequestId id) {
		return fixture.link.end(id).map((end) -> end.getFailureCode().isEmpty()).orElse(false);
	}

	@Test
	public void responseIsCompleteWhenTheServerLives() {
		RequestId id = this.fixture.submit();
		this.fixture.backend.last().answerWithConnection("done");
		assertTrue(complete(this.fixture, id));
	}

	@Test
	public void responseIsHeldBackUntilItIsKnownWhetherTheServerLives() {
		this.fixture.backend.answersProbes = false;
		RequestId id = this.fixture.submit();
		this.fixture.backend.last().answerWithConnection("done");
		assertFalse(complete(this.fixture, id));
		this.fixture.backend.probes.forEach((probe) -> probe.complete(this.fixture.backend.health()));
		assertTrue(complete(this.fixture, id));
	}

	@Test
	public void responseOfAServerThatRefusesConnectionsIsBrokenOff() {
		RequestId id = this.fixture.submit();
		this.fixture.backend.refusing = true;
		this.fixture.backend.last().answerWithConnection("half");
		assertFalse(complete(this.fixture, id));
		assertEquals(this.fixture.link.end(id).orElseThrow().getFailureCode(), "backend-failed");
	}

	@Test
	public void responseOfAServerThatRestartedIsBrokenOff() {
		RequestId id = this.fixture.submit();
		this.fixture.backend.incarnation = "two";
		this.fixture.backend.last().answerWithConnection("half");
		assertFalse(complete(this.fixture, id));
	}

	@Test
	public void keyedCallOfAServerThatCrashedHasNoStoredAnswer() {
		this.fixture.submitKeyed("k");
		this.fixture.backend.refusing = true;
		this.fixture.backend.last().answerWithConnection("half");
		assertEquals(this.fixture.claims.log, List.of("claim k", "failed k unknown"));
	}

	@Test
	public void crashOfTheServerMakesTheRequestASuspect() {
		this.fixture.submit();
		this.fixture.backend.incarnation = "two";
		this.fixture.backend.last().answerWithConnection("half");
		this.fixture.advance(50);
		assertEquals(this.fixture.suspects.entries(this.fixture.nowMs).size(), 1);
	}

}

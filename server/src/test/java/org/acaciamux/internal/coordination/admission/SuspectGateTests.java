package org.acaciamux.internal.coordination.admission;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.WireOutcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against suspects that run beside other suspects, on a server that is not
 * designated, or on the last healthy server, and against suspects that are never cleared.
 */
public class SuspectGateTests {

	private static AgentFixture crashed(AgentFixture fixture) {
		submit(fixture, "suspect");
		fixture.backend.crash("two");
		fixture.advance(50);
		return fixture;
	}

	private static RequestId submit(AgentFixture fixture, String body) {
		return fixture.submit((submit) -> submit.setBody(ByteString.copyFromUtf8(body)));
	}

	@Test
	public void aSuspectDoesNotRunOnTheLastHealthyServer() {
		AgentFixture fixture = crashed(new AgentFixture());
		fixture.load = new PoolLoad(1, 0, 0);
		Refused refused = fixture.link.refused(submit(fixture, "suspect")).orElseThrow();
		assertEquals(refused.getFailureCode(), "request-suspect");
		assertEquals(refused.getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
		assertTrue(refused.getRetryAfterMs() > 0);
		submit(fixture, "innocent");
		assertEquals(fixture.backend.last().body(), "innocent");
	}

	@Test
	public void aSuspectIsSentToItsDesignatedServer() {
		AgentFixture fixture = crashed(new AgentFixture("agent", (fingerprint) -> Optional.of("designated")));
		Refused refused = fixture.link.refused(submit(fixture, "suspect")).orElseThrow();
		assertTrue(refused.getRedirect());
		assertEquals(refused.getOwner(), "designated");
	}

	@Test
	public void aSuspectWaitsForItsTurnOnABusyServerAndOtherSuspectsAreRefusedAtOnce() {
		AgentFixture fixture = crashed(new AgentFixture());
		fixture.load = new PoolLoad(4, 0, 3);
		submit(fixture, "innocent");
		submit(fixture, "suspect");
		assertEquals(fixture.agent.queued(), 1);
		Refused refused = fixture.link.refused(submit(fixture, "suspect")).orElseThrow();
		assertEquals(refused.getFailureCode(), "request-suspect");
		fixture.backend.last().answer("done");
		assertEquals(fixture.backend.last().body(), "suspect");
	}

	@Test
	public void aSuspectThatLeavesTheQueueFreesTheIsolationSlot() {
		AgentFixture fixture = crashed(new AgentFixture());
		fixture.load = new PoolLoad(4, 0, 3);
		submit(fixture, "innocent");
		fixture.cancel(submit(fixture, "suspect"));
		submit(fixture, "suspect");
		assertEquals(fixture.agent.queued(), 1);
		fixture.load = new PoolLoad(4, 0, 0);
		fixture.backend.last().answer("done");
		assertEquals(fixture.backend.last().body(), "innocent",
				"the suspect must not run on what is now the last healthy server");
	}

	@Test
	public void aQueuedCopyOfACrashedRequestDoesNotRunBesideAnotherSuspect() {
		AgentFixture fixture = new AgentFixture();
		fixture.load = new PoolLoad(4, 2, 3);
		submit(fixture, "suspect");
		submit(fixture, "other suspect");
		submit(fixture, "suspect");
		RequestId last = submit(fixture, "other suspect");
		assertEquals(fixture.agent.queued(), 2);
		fixture.backend.crash("two");
		fixture.advance(50);
		assertEquals(fixture.backend.running().size(), 1);
		assertEquals(fixture.link.refused(last).orElseThrow().getFailureCode(), "request-suspect");
	}

	@Test
	public void aSuspectThatCompletesIsClearedAndRunsFreelyAgain() {
		AgentFixture fixture = crashed(new AgentFixture());
		submit(fixture, "suspect");
		fixture.backend.last().answer("done");
		fixture.load = new PoolLoad(1, 0, 0);
		submit(fixture, "suspect");
		assertEquals(fixture.backend.running().size(), 1);
	}

	/**
	 * A server may answer 500 without having run the request to its end. If that cleared
	 * the suspect, it would crash servers without limit.
	 */
	@Test
	public void aSuspectThatFailsIsNotCleared() {
		AgentFixture fixture = crashed(new AgentFixture());
		submit(fixture, "suspect");
		fixture.backend.last().status(500);
		fixture.backend.last().end();
		fixture.load = new PoolLoad(1, 0, 0);
		Refused refused = fixture.link.refused(submit(fixture, "suspect")).orElseThrow();
		assertEquals(refused.getFailureCode(), "request-suspect");
	}

	@Test
	public void aSecondCrashAloneQuarantinesTheRequest() {
		AgentFixture fixture = crashed(new AgentFixture());
		submit(fixture, "suspect");
		fixture.backend.crash("three");
		fixture.advance(50);
		Refused refused = fixture.link.refused(submit(fixture, "suspect")).orElseThrow();
		assertEquals(refused.getFailureCode(), "request-quarantined");
	}

}

package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

/**
 * Guards against requests that a stopping router leaves without an answer, and against
 * answers that claim not-run without a proof.
 */
public class RefusalAtShutdownTests {

	private RouterFixture fixture;

	@BeforeMethod
	public void create() {
		this.fixture = new RouterFixture();
	}

	@Test
	public void requestThatWaitsForALinkIsRefusedAsNotRun() {
		this.fixture.pendingLinks = new ArrayList<>();
		FakeSink sink = this.fixture.route(RouterFixture.chat("body"));
		this.fixture.router.drain();
		this.fixture.router.refuseUnanswered();
		assertEquals(sink.failure.code(), FailureCode.DRAINING);
		assertEquals(sink.failure.outcome(), Outcome.NOT_RUN);
	}

	@Test
	public void sentRequestWithoutProofOfItsAgentIsOfUnknownOutcome() {
		FakeSink sink = this.fixture.route(RouterFixture.chat("body"));
		this.fixture.router.drain();
		this.fixture.router.refuseUnanswered();
		assertNull(sink.failure);
		this.fixture.advance(300);
		assertEquals(sink.failure.code(), FailureCode.DEADLINE_EXCEEDED);
		assertEquals(sink.failure.outcome(), Outcome.UNKNOWN);
	}

}

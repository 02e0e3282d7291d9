package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;

import org.testng.annotations.Test;

import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Frame.BodyCase;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.RequestState;
import org.acaciamux.internal.protocol.wire.WireOutcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that are sent again without proof that they did not run, and
 * against lost or repeated parts of a response, after a link closes or goes silent.
 */
public class LinkRecoveryTests {

	@Test
	public void aResponseContinuesByOffsetAfterItsLinkClosed() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink old = fixture.link("a");
		RequestId id = fixture.lastId(old);
		fixture.router.handle(old, AgentFrames.head(id, "a"));
		fixture.router.handle(old, AgentFrames.chunk(id, 0, "one"));
		old.close("reset");
		FakeLink replacement = fixture.link("a");
		assertEquals(replacement.sent(BodyCase.RESOLVE).size(), 1);
		fixture.router.handle(replacement, resolution(id, RequestState.STATE_RUNNING, WireOutcome.OUTCOME_UNSPECIFIED));
		assertEquals(replacement.sent(BodyCase.RESUME).get(0).getResume().getOffset(), 3);
		fixture.router.handle(replacement, AgentFrames.head(id, "a"));
		fixture.router.handle(replacement, AgentFrames.chunk(id, 3, "two"));
		fixture.router.handle(replacement, AgentFrames.end(id, 6));
		assertEquals(sink.heads, 1);
		assertTrue(sink.answered());
		assertEquals(sink.body.toStringUtf8(), "onetwo");
		assertEquals(replacement.sent(BodyCase.SUBMIT).size(), 0);
	}

	@Test
	public void allRequestsOfASilentLinkMoveToOneNewLink() {
		RouterFixture fixture = new RouterFixture();
		fixture.route(RouterFixture.chat("x"));
		fixture.route(RouterFixture.chat("y"));
		FakeLink old = fixture.link("a");
		fixture.pendingLinks = new ArrayList<>();
		fixture.router.linkSilent(old);
		assertEquals(fixture.pendingLinks.size(), 1);
		fixture.pendingLinks.get(0).run();
		assertNotSame(fixture.link("a"), old);
		assertEquals(fixture.link("a").sent(BodyCase.RESOLVE).size(), 2);
		assertEquals(fixture.link("a").sent(BodyCase.SUBMIT).size(), 0);
	}

	@Test
	public void aRequestThatProvablyNeverArrivedIsRetriedWithinTheBudget() {
		RouterFixture fixture = new RouterFixture();
		fixture.route(RouterFixture.chat("x"));
		RequestId id = loseLink(fixture);
		fixture.router.handle(fixture.link("a"),
				resolution(id, RequestState.STATE_NOT_FOUND, WireOutcome.OUTCOME_NOT_RUN));
		assertEquals(fixture.link("b").sent(BodyCase.SUBMIT).size(), 1);
		assertEquals(fixture.count("retries"), 1);
	}

	@Test
	public void aRequestThatTheAgentCannotProveNotRunIsUnknownAndNotRetried() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		RequestId id = loseLink(fixture);
		fixture.router.handle(fixture.link("a"),
				resolution(id, RequestState.STATE_NOT_FOUND, WireOutcome.OUTCOME_UNKNOWN));
		assertEquals(sink.failure.code(), FailureCode.AGENT_LOST);
		assertEquals(sink.failure.outcome(), Outcome.UNKNOWN);
	}

	@Test
	public void retriesEndWhenTheBudgetIsUsedUp() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = null;
		while (fixture.count("retries-denied") == 0) {
			sink = fixture.route(RouterFixture.chat("x"));
			RequestId id = loseLink(fixture);
			fixture.router.handle(fixture.link("a"),
					resolution(id, RequestState.STATE_NOT_FOUND, WireOutcome.OUTCOME_NOT_RUN));
		}
		assertEquals(sink.failure.code(), FailureCode.AGENT_UNREACHABLE);
		assertEquals(sink.failure.outcome(), Outcome.NOT_RUN);
		// A full bucket of 20 and one tenth of a retry for each of the requests so far.
		assertEquals(fixture.count("retries"), 22);
	}

	@Test
	public void aRequestAtAnAgentThatRestartedIsUnknown() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		fixture.incarnations.put("a", 9L);
		loseLink(fixture);
		assertEquals(sink.failure.code(), FailureCode.AGENT_LOST);
		assertEquals(sink.failure.outcome(), Outcome.UNKNOWN);
		assertEquals(fixture.link("a").sent(BodyCase.SUBMIT).size(), 0);
	}

	@Test
	public void aRequestIsGivenUpAsUnknownWhenItsAgentStaysUnreachable() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		fixture.unreachable.add("a");
		loseLink(fixture);
		fixture.advance(9_000);
		assertEquals(sink.ends, 0);
		fixture.advance(2_000);
		assertEquals(sink.failure.outcome(), Outcome.UNKNOWN);
		assertTrue(fixture.evidence.contains("a unreachable"));
	}

	@Test
	public void framesOfTheOldLinkAreDroppedOnceTheNewOneIsUsed() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink old = fixture.link("a");
		RequestId id = fixture.lastId(old);
		fixture.router.linkSilent(old);
		fixture.router.handle(old, AgentFrames.head(id, "a"));
		assertEquals(sink.heads, 0);
		assertEquals(fixture.count("dropped.link"), 1);
	}

	@Test
	public void aRequestIsUnknownWhenItsAgentNoLongerKeepsTheResponse() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		RequestId id = loseLink(fixture);
		FakeLink replacement = fixture.link("a");
		fixture.router.handle(replacement, resolution(id, RequestState.STATE_ENDED, WireOutcome.OUTCOME_ANSWERED));
		fixture.router.handle(replacement, resolution(id, RequestState.STATE_ENDED, WireOutcome.OUTCOME_ANSWERED));
		assertEquals(sink.failure.code(), FailureCode.AGENT_LOST);
		assertEquals(sink.failure.outcome(), Outcome.UNKNOWN);
	}

	@Test
	public void aSecondResolutionAfterARepeatedResolveDoesNotEndTheRequest() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		RequestId id = loseLink(fixture);
		fixture.advance(600);
		FakeLink replacement = fixture.link("a");
		assertEquals(replacement.sent(BodyCase.RESOLVE).size(), 2);
		fixture.router.handle(replacement, resolution(id, RequestState.STATE_RUNNING, WireOutcome.OUTCOME_UNSPECIFIED));
		fixture.router.handle(replacement, resolution(id, RequestState.STATE_RUNNING, WireOutcome.OUTCOME_UNSPECIFIED));
		assertEquals(sink.ends, 0);
	}

	@Test
	public void aSilentLinkThatWorksAgainBeforeItsReplacementKeepsItsRequests() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink link = fixture.link("a");
		RequestId id = fixture.lastId(link);
		fixture.pendingLinks = new ArrayList<>();
		fixture.router.linkSilent(link);
		fixture.router.handle(link, AgentFrames.head(id, "a"));
		fixture.router.handle(link, AgentFrames.end(id, 0));
		fixture.pendingLinks.get(0).run();
		assertTrue(sink.answered());
	}

	@Test
	public void theNextCandidateIsTriedWhenConnectingTakesTooLong() {
		RouterFixture fixture = new RouterFixture();
		fixture.pendingLinks = new ArrayList<>();
		fixture.route(RouterFixture.chat("x"));
		fixture.advance(2_100);
		fixture.pendingLinks.get(1).run();
		fixture.pendingLinks.get(0).run();
		assertEquals(fixture.link("b").sent(BodyCase.SUBMIT).size(), 1);
		assertEquals(fixture.link("a").sent(BodyCase.SUBMIT).size(), 0);
	}

	private static RequestId loseLink(RouterFixture fixture) {
		FakeLink link = fixture.link("a");
		RequestId id = fixture.lastId(link);
		link.close("reset");
		return id;
	}

	private static Frame resolution(RequestId id, RequestState state, WireOutcome outcome) {
		return AgentFrames.resolution(id, state, 1, outcome);
	}

}

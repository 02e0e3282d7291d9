package org.acaciamux.internal.coordination.routing;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Frame.BodyCase;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.WireOutcome;
import org.acaciamux.internal.state.record.PoolSpec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against wrong trials and outcomes, and against credit and limits that are not
 * applied, for requests whose links work.
 */
public class RequestRouterTests {

	@Test
	public void theResponseOfAnAgentIsStreamedToItsCaller() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		fixture.router.handle(a, AgentFrames.chunk(id, 0, "hello"));
		fixture.router.handle(a, AgentFrames.end(id, 5));
		assertTrue(sink.answered());
		assertEquals(sink.body.toStringUtf8(), "hello");
		assertEquals(fixture.served, List.of("chat secret-chat a"));
		assertEquals(fixture.router.inFlight(), 0);
	}

	@Test
	public void aRedirectedRequestGoesToTheNextCandidateAndLastToTheLeastLoaded() {
		RouterFixture fixture = new RouterFixture();
		fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		assertFalse(a.sent(BodyCase.SUBMIT).get(0).getSubmit().getFinalTrial());
		fixture.router.handle(a, AgentFrames.redirect(fixture.lastId(a), FailureCode.LOAD_BOUND, 4));
		FakeLink b = fixture.link("b");
		assertFalse(b.sent(BodyCase.SUBMIT).get(0).getSubmit().getFinalTrial());
		fixture.router.handle(b, AgentFrames.redirect(fixture.lastId(b), FailureCode.LOAD_BOUND, 9));
		assertEquals(a.sent(BodyCase.SUBMIT).size(), 2);
		assertTrue(a.sent(BodyCase.SUBMIT).get(1).getSubmit().getFinalTrial());
	}

	@Test
	public void aCandidateThatIsNotReachableIsSkippedWithoutUsingTheRetryBudget() {
		RouterFixture fixture = new RouterFixture();
		fixture.unreachable.add("a");
		fixture.route(RouterFixture.chat("x"));
		assertTrue(fixture.link("b").sent(BodyCase.SUBMIT).get(0).getSubmit().getFinalTrial());
		assertEquals(fixture.count("retries"), 0);
	}

	@Test
	public void aLateResponseOfAnEarlierTrialIsDropped() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		RequestId first = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.redirect(first, FailureCode.LOAD_BOUND, 4));
		fixture.router.handle(a, AgentFrames.head(first, "a"));
		assertEquals(sink.heads, 0);
		assertNotEquals(fixture.lastId(fixture.link("b")), first);
		assertEquals(fixture.count("dropped.unknown-id"), 1);
	}

	@Test
	public void aResponseOverTheLinkOfAnotherAgentIsDropped() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		RequestId id = fixture.lastId(fixture.link("a"));
		FakeLink other = new FakeLink("b", 2, (link, frame) -> {
		});
		fixture.router.handle(other, AgentFrames.head(id, "b"));
		assertEquals(sink.heads, 0);
		assertEquals(fixture.count("dropped.link"), 1);
	}

	@Test
	public void aResponseForAnEarlierProcessOfThisRouterIsDropped() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		RequestId id = fixture.lastId(fixture.link("a")).toBuilder().setIncarnation(1).build();
		fixture.router.handle(fixture.link("a"), AgentFrames.head(id, "a"));
		assertEquals(sink.heads, 0);
		assertEquals(fixture.count("dropped.incarnation"), 1);
	}

	@Test
	public void creditIsGrantedOnlyAsTheCallerReads() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = new FakeSink();
		RoutedCall call = fixture.route(RouterFixture.chat("x"), sink);
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		String half = "x".repeat(RouterSettings.defaults().creditWindowBytes() / 2);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		fixture.router.handle(a, AgentFrames.chunk(id, 0, half));
		assertEquals(a.sent(BodyCase.CREDIT).size(), 0);
		call.consumed(half.length());
		assertEquals(a.sent(BodyCase.CREDIT).get(0).getCredit().getBytes(), half.length());
	}

	@Test
	public void bytesBeyondTheCreditAreNotHandedToTheCaller() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		String tooMuch = "x".repeat(RouterSettings.defaults().creditWindowBytes() + 1);
		fixture.router.handle(a, AgentFrames.chunk(id, 0, tooMuch));
		assertEquals(sink.body.size(), 0);
	}

	@Test
	public void aMissingPieceIsAskedForAgainAndTheBodyIsWhole() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		fixture.router.handle(a, AgentFrames.chunk(id, 0, "one"));
		fixture.router.handle(a, AgentFrames.chunk(id, 6, "three"));
		fixture.router.handle(a, AgentFrames.end(id, 11));
		assertEquals(sink.ends, 0);
		assertEquals(a.sent(BodyCase.RESUME).get(0).getResume().getOffset(), 3);
		fixture.router.handle(a, AgentFrames.chunk(id, 3, "two"));
		fixture.router.handle(a, AgentFrames.chunk(id, 3, "two"));
		fixture.router.handle(a, AgentFrames.chunk(id, 6, "three"));
		fixture.router.handle(a, AgentFrames.end(id, 11));
		assertTrue(sink.answered());
		assertEquals(sink.body.toStringUtf8(), "onetwothree");
	}

	@Test
	public void aCallerThatGoesAwayCancelsItsRequestAtTheAgent() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = new FakeSink();
		RoutedCall call = fixture.route(RouterFixture.chat("x"), sink);
		call.cancel();
		assertEquals(fixture.link("a").sent(BodyCase.CANCEL).size(), 1);
		assertEquals(sink.ends, 0);
		assertEquals(fixture.router.inFlight(), 0);
	}

	@Test
	public void aKeyedCallFollowsTheOwnerThatTheAgentNames() {
		RouterFixture fixture = new RouterFixture();
		fixture.route(RouterFixture.order(RouterFixture.KEY, 1));
		FakeLink a = fixture.link("a");
		fixture.router.handle(a, notOwner(fixture.lastId(a), "b", WireOutcome.OUTCOME_NOT_RUN));
		Frame second = fixture.link("b").sent(BodyCase.SUBMIT).get(0);
		assertTrue(second.getSubmit().getKeyed());
		assertEquals(second.getSubmit().getAttempt(), 1);
	}

	@Test
	public void agentsThatNameEachOtherAsOwnerEndInARefusal() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.order(RouterFixture.KEY, 1));
		FakeLink a = fixture.link("a");
		fixture.router.handle(a, notOwner(fixture.lastId(a), "b", WireOutcome.OUTCOME_NOT_RUN));
		FakeLink b = fixture.link("b");
		fixture.router.handle(b, notOwner(fixture.lastId(b), "a", WireOutcome.OUTCOME_NOT_RUN));
		assertEquals(sink.failure.code(), FailureCode.CLAIMS_UNAVAILABLE);
		assertEquals(sink.failure.outcome(), Outcome.NOT_RUN);
		assertEquals(sink.failure.retryAfterMs(), 2_500);
	}

	@Test
	public void aRefusalWithoutProofIsFollowedButNeverReportedAsNotRun() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.order(RouterFixture.KEY, 1));
		FakeLink a = fixture.link("a");
		fixture.router.handle(a, notOwner(fixture.lastId(a), "b", WireOutcome.OUTCOME_UNKNOWN));
		FakeLink b = fixture.link("b");
		assertEquals(b.sent(BodyCase.SUBMIT).get(0).getSubmit().getAttempt(), 0);
		fixture.router.handle(b, notOwner(fixture.lastId(b), "a", WireOutcome.OUTCOME_NOT_RUN));
		assertEquals(sink.failure.outcome(), Outcome.UNKNOWN);
	}

	@Test
	public void anUnsentKeyedCallIsNotRunOnlyIfTheCallerMarkedItAsFirstAttempt() {
		RouterFixture fixture = new RouterFixture();
		fixture.unreachable.addAll(List.of("a", "b"));
		assertEquals(fixture.route(RouterFixture.order(RouterFixture.KEY, 1)).failure.outcome(), Outcome.NOT_RUN);
		assertEquals(fixture.route(RouterFixture.order(RouterFixture.KEY, 2)).failure.outcome(), Outcome.UNKNOWN);
		assertEquals(fixture.route(RouterFixture.order(RouterFixture.KEY, 0)).failure.outcome(), Outcome.UNKNOWN);
	}

	@Test
	public void aCallThatMayNotBeRepeatedNeedsAKeyThatIsAUuidVersion7() {
		RouterFixture fixture = new RouterFixture();
		assertEquals(fixture.route(RouterFixture.order(null, 0)).failure.code(), FailureCode.KEY_REQUIRED);
		String version4 = RouterFixture.KEY.replace("-7abc-", "-4abc-");
		assertEquals(fixture.route(RouterFixture.order(version4, 0)).failure.code(), FailureCode.KEY_INVALID);
		assertTrue(fixture.links.isEmpty());
	}

	@Test
	public void aCrashSuspectIsNotRetried() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		fixture.router.handle(a, AgentFrames.redirect(fixture.lastId(a), FailureCode.REQUEST_SUSPECT, 1));
		assertEquals(sink.failure.code(), FailureCode.REQUEST_SUSPECT);
		assertEquals(fixture.links.size(), 1);
	}

	@Test
	public void aCrashSuspectGoesToItsDesignatedServerAndToNoOther() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		fixture.router.handle(a, AgentFrames.refused(fixture.lastId(a), FailureCode.REQUEST_SUSPECT,
				WireOutcome.OUTCOME_NOT_RUN, true, 1, "b"));
		FakeLink b = fixture.link("b");
		fixture.router.handle(b, AgentFrames.refused(fixture.lastId(b), FailureCode.REQUEST_SUSPECT,
				WireOutcome.OUTCOME_NOT_RUN, true, 1, "a"));
		assertEquals(sink.ends, 1);
		assertEquals(a.sent(BodyCase.SUBMIT).size(), 1);
	}

	@Test
	public void aRequestThatWasSentIsUnknownAtItsDeadlineAndCancelled() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		fixture.advance(60_500);
		assertEquals(sink.failure.code(), FailureCode.DEADLINE_EXCEEDED);
		assertEquals(sink.failure.outcome(), Outcome.UNKNOWN);
		assertEquals(fixture.link("a").sent(BodyCase.CANCEL).size(), 1);
	}

	@Test
	public void aResponseWithoutProgressIsBrokenOff() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		fixture.router.handle(a, AgentFrames.head(fixture.lastId(a), "a"));
		fixture.advance(31_500);
		assertTrue(sink.aborted);
		assertEquals(sink.failure.code(), FailureCode.NO_PROGRESS);
	}

	@Test
	public void aSlowCallerIsNotTakenForASilentAgent() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		fixture.router.handle(a, AgentFrames.chunk(id, 0, "x".repeat(RouterSettings.defaults().creditWindowBytes())));
		fixture.advance(40_000);
		assertEquals(sink.ends, 0);
	}

	/**
	 * Guards against a response that is cut when a server goes on after a long pause: its
	 * caller had nothing to read until then.
	 */
	@Test
	public void aPauseOfTheServerIsNotTakenForACallerThatDoesNotRead() {
		RouterFixture fixture = new RouterFixture();
		fixture.pools.put("chat", withProgressTimeout(fixture.pools.get("chat"), 120_000));
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		fixture.advance(RouterSettings.defaults().callerStallMs() + 1_000);
		fixture.router.handle(a, AgentFrames.chunk(id, 0, "hello"));
		fixture.advance(100);
		fixture.router.handle(a, AgentFrames.end(id, 5));
		assertTrue(sink.answered());
	}

	/**
	 * Guards against a response that ends because of a change of its pool: a request
	 * keeps the settings under which it was accepted.
	 */
	@Test
	public void aChangeOrRemovalOfThePoolEndsNoRequestInFlight() {
		for (int step = 0; step < 3; step++) {
			for (boolean removed : new boolean[] { true, false }) {
				assertAnsweredAfterAChange(step, removed);
			}
		}
	}

	private static void assertAnsweredAfterAChange(int step, boolean removed) {
		RouterFixture fixture = new RouterFixture();
		fixture.pendingLinks = new ArrayList<>();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		if (step > 0) {
			fixture.pendingLinks.get(0).run();
			if (step > 1) {
				fixture.router.handle(fixture.link("a"), AgentFrames.head(fixture.lastId(fixture.link("a")), "a"));
			}
		}
		PoolSpec pool = fixture.pools.remove("chat");
		if (!removed) {
			fixture.pools.put("chat", withProgressTimeout(pool, 100));
		}
		fixture.advance(1_500);
		if (step == 0) {
			fixture.pendingLinks.get(0).run();
		}
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		fixture.advance(1_500);
		fixture.router.handle(a, AgentFrames.chunk(id, 0, "hello"));
		fixture.router.handle(a, AgentFrames.end(id, 5));
		assertTrue(sink.answered(), "step " + step + ", removed " + removed + ": " + sink.failure);
	}

	private static PoolSpec withProgressTimeout(PoolSpec pool, long timeoutMs) {
		return new PoolSpec(pool.name(), pool.model(), pool.repeatable(), pool.loadBound(), pool.reusePreference(),
				pool.candidates(), pool.maxConcurrency(), pool.queueLimit(), pool.queueWaitMs(), timeoutMs,
				pool.claimPartitions(), pool.keyRetentionMs(), pool.checksFence(), pool.modelVersion(),
				pool.adapters());
	}

	@Test
	public void aRouterWithoutNetworkOrConfigurationRefusesWithRetryAfter() {
		RouterFixture fixture = new RouterFixture();
		fixture.networkLost = true;
		assertEquals(fixture.route(RouterFixture.chat("x")).failure.code(), FailureCode.NOT_READY);
		fixture.networkLost = false;
		fixture.ready = false;
		assertTrue(fixture.route(RouterFixture.chat("x")).failure.retryAfterMs() > 0);
	}

	@Test
	public void aDrainFinishesRequestsInFlightAndRefusesNewOnes() {
		RouterFixture fixture = new RouterFixture();
		FakeSink sink = fixture.route(RouterFixture.chat("x"));
		fixture.router.drain();
		assertEquals(fixture.route(RouterFixture.chat("y")).failure.code(), FailureCode.DRAINING);
		assertTrue(fixture.router.waitingFor().get(0).contains("waits for agent a"), fixture.router.waitingFor() + "");
		FakeLink a = fixture.link("a");
		RequestId id = fixture.lastId(a);
		fixture.router.handle(a, AgentFrames.head(id, "a"));
		fixture.router.handle(a, AgentFrames.end(id, 0));
		assertTrue(sink.answered());
		assertEquals(fixture.router.waitingFor(), List.of());
	}

	@Test
	public void theDumpExplainsRoutesWithoutChatsKeysAndBodies() {
		RouterFixture fixture = new RouterFixture();
		fixture.route(RouterFixture.chat("secret-body"));
		fixture.route(RouterFixture.order(RouterFixture.KEY, 1));
		String dump = fixture.router.dump().toString();
		assertTrue(dump.contains("sent to agent a"), dump);
		assertFalse(dump.contains("secret") || dump.contains(RouterFixture.KEY) || dump.contains("/charge"), dump);
	}

	private static Frame notOwner(RequestId id, String owner, WireOutcome outcome) {
		return AgentFrames.refused(id, FailureCode.NOT_OWNER, outcome, true, 0, owner);
	}

}

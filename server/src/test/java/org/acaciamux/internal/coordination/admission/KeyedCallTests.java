package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.testng.annotations.Test;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.claim.CallClaims.Decision;
import org.acaciamux.internal.coordination.claim.StoredAnswer;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.WireOutcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a keyed call that runs twice, runs without a durable claim, or is
 * reported as not run although an earlier attempt may have run.
 */
public class KeyedCallTests {

	private final StoredAnswer stored = new StoredAnswer(201, List.of(), ByteString.copyFromUtf8("paid"));

	@Test
	public void aKeyedCallIsNotSentBeforeItsClaimIsDurable() {
		AgentFixture fixture = new AgentFixture();
		fixture.claims.next = null;
		fixture.submitKeyed("k");
		assertEquals(fixture.backend.runs.size(), 0);
		fixture.claims.pending.get(0).complete(new Decision.Run());
		assertEquals(fixture.backend.runs.size(), 1);
		fixture.backend.last().answer("paid");
		assertEquals(fixture.claims.log, List.of("claim k", "answered k"));
		assertEquals(fixture.claims.answer.body().toStringUtf8(), "paid");
	}

	@Test
	public void aQueuedCallIsNotClaimedBeforeItCanRun() {
		AgentFixture fixture = new AgentFixture();
		fixture.load = new PoolLoad(4, 0, 3);
		fixture.submit();
		fixture.submitKeyed("k");
		assertEquals(fixture.claims.log, List.of());
		fixture.backend.last().answer("other");
		assertEquals(fixture.claims.log, List.of("claim k"));
	}

	@Test
	public void aKeyedCallRunsOnWhenItsCallerGoesAway() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submitKeyed("k");
		fixture.cancel(id);
		fixture.link.close("test");
		FakeBackend.Run run = fixture.backend.last();
		fixture.advance(4_000);
		run.data("pa");
		fixture.advance(4_000);
		run.data("i");
		fixture.advance(4_000);
		assertFalse(run.cancelled);
		run.data("d");
		run.end();
		assertEquals(fixture.claims.answer.body().toStringUtf8(), "paid");
	}

	@Test
	public void aLongAnswerToAKeyedCallIsReadToItsEndWithoutItsCaller() {
		AgentFixture fixture = new AgentFixture();
		fixture.submit((submit) -> submit.setKeyed(true).setIdempotencyKey("k").setInitialCredit(0));
		FakeBackend.Run run = fixture.backend.last();
		run.head();
		for (int i = 0; i < 40; i++) {
			run.data("0123456789".repeat(1_000));
			assertFalse(run.paused);
		}
		run.end();
		assertEquals(fixture.claims.answer.body().size(), 400_000);
	}

	@Test
	public void aRepetitionAttachesAlthoughTheServerIsFull() {
		AgentFixture fixture = new AgentFixture();
		fixture.load = new PoolLoad(4, 0, 3);
		fixture.submitKeyed("k");
		CompletableFuture<Either<Failure, StoredAnswer>> end = new CompletableFuture<>();
		fixture.claims.next = new Decision.Attach(end);
		RequestId second = fixture.submitKeyed("k");
		assertEquals(fixture.backend.runs.size(), 1);
		end.complete(Either.right(this.stored));
		assertEquals(fixture.link.body(second), "paid");
		assertTrue(fixture.link.sent.stream().anyMatch((frame) -> frame.hasHead() && frame.getHead().getReplayed()));
		assertEquals(fixture.agent.load(), 1);
	}

	@Test
	public void aCompletedCallIsReplayedDuringADrain() {
		AgentFixture fixture = new AgentFixture();
		fixture.submitKeyed("k");
		fixture.backend.last().answer("paid");
		fixture.agent.drain();
		fixture.claims.next = new Decision.Replay(this.stored);
		RequestId second = fixture.submitKeyed("k");
		assertEquals(fixture.link.body(second), "paid");
		assertEquals(fixture.backend.runs.size(), 1);
	}

	@Test
	public void aKnownKeyThatMayRunAgainStillNeedsAnAdmissionSlot() {
		AgentFixture fixture = new AgentFixture();
		fixture.load = new PoolLoad(4, 0, 3);
		fixture.submitKeyed("k");
		RequestId second = fixture.submitKeyed("k");
		assertEquals(fixture.backend.runs.size(), 1);
		assertEquals(fixture.claims.log, List.of("claim k", "claim k", "failed k not-run"));
		assertEquals(fixture.link.refused(second).orElseThrow().getFailureCode(), "load-bound");
		assertEquals(fixture.agent.load(), 1);
	}

	@Test
	public void aFinalRefusalGoesThroughTheClaims() {
		AgentFixture fixture = new AgentFixture();
		fixture.load = new PoolLoad(4, 0, 3);
		fixture.submit();
		RequestId waiting = fixture.submitKeyed("k");
		fixture.advance(fixture.pool.queueWaitMs() + 1);
		assertTrue(fixture.claims.log.contains("refuse k"), fixture.claims.log.toString());
		assertEquals(fixture.link.refused(waiting).orElseThrow().getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
	}

	@Test
	public void aRepeatedAttemptIsNotReportedAsNotRunWithoutADurableRefusal() {
		AgentFixture fixture = new AgentFixture();
		fixture.agent.drain();
		RequestId id = fixture.submit((submit) -> submit.setKeyed(true).setIdempotencyKey("k").setAttempt(2));
		Refused refused = fixture.link.refused(id).orElseThrow();
		assertEquals(refused.getFailureCode(), "draining");
		assertEquals(refused.getOutcome(), WireOutcome.OUTCOME_UNKNOWN);
	}

	@Test
	public void aCallClaimedAfterItsDeadlineIsNotSent() {
		AgentFixture fixture = new AgentFixture();
		fixture.claims.next = null;
		RequestId id = fixture
			.submit((submit) -> submit.setKeyed(true).setIdempotencyKey("k").setAttempt(1).setDeadlineMs(1_000));
		fixture.advance(1_000);
		fixture.claims.pending.get(0).complete(new Decision.Run());
		assertEquals(fixture.backend.runs.size(), 0);
		assertEquals(fixture.claims.log, List.of("claim k", "failed k not-run"));
		assertEquals(fixture.link.refused(id).orElseThrow().getFailureCode(), "deadline-exceeded");
	}

	@Test
	public void aBrokenAnswerIsReportedToTheClaimsAsUnknown() {
		AgentFixture fixture = new AgentFixture();
		fixture.submitKeyed("k");
		fixture.backend.last().fail(Backend.Break.BROKEN_OFF);
		assertEquals(fixture.claims.log, List.of("claim k", "failed k unknown"));
	}

	@Test
	public void aClaimedCallThatCouldNotBeSentIsNotTriedElsewhere() {
		AgentFixture fixture = new AgentFixture();
		fixture.backend.refusing = true;
		RequestId id = fixture.submitKeyed("k");
		assertEquals(fixture.claims.log, List.of("claim k", "failed k not-run"));
		Refused refused = fixture.link.refused(id).orElseThrow();
		assertFalse(refused.getRedirect());
		assertEquals(refused.getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
	}

	@Test
	public void aCallOfAnotherOwnerIsRedirected() {
		AgentFixture fixture = new AgentFixture();
		fixture.claims.next = new Decision.Refuse(Failure.notRun(FailureCode.NOT_OWNER, "moved", 0));
		RequestId id = fixture.submitKeyed("k");
		assertTrue(fixture.link.refused(id).orElseThrow().getRedirect());
		assertEquals(fixture.agent.load(), 0);
	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.RequestState;
import org.acaciamux.internal.protocol.wire.Resolution;
import org.acaciamux.internal.protocol.wire.Submit;
import org.acaciamux.internal.protocol.wire.WireOutcome;
import org.acaciamux.internal.state.record.PoolSpec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against responses that are lost, sent out of order or beyond the credit, and
 * against requests that run twice, run after they were refused, or never end.
 */
public class AgentServiceTests {

	private final String large = "0123456789".repeat(10_000);

	@Test
	public void aResponseArrivesCompleteAndInOrder() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		fixture.backend.last().answer(this.large);
		assertEquals(fixture.link.body(id), this.large);
		assertEquals(fixture.link.end(id).orElseThrow().getOutcome(), WireOutcome.OUTCOME_ANSWERED);
		assertEquals(fixture.agent.load(), 0);
	}

	@Test
	public void noByteIsSentBeyondTheCredit() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit((submit) -> submit.setInitialCredit(10));
		fixture.backend.last().answer(this.large);
		assertEquals(fixture.link.body(id).length(), 10);
		assertTrue(fixture.link.end(id).isEmpty());
		fixture.credit(id, this.large.length());
		assertEquals(fixture.link.body(id), this.large);
		assertTrue(fixture.link.end(id).isPresent());
	}

	@Test
	public void aSlowCallerPausesTheBackendServerInsteadOfFillingMemory() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit((submit) -> submit.setInitialCredit(0));
		FakeBackend.Run run = fixture.backend.last();
		run.head();
		int delivered = 0;
		while (!run.paused && delivered < 100) {
			run.data(this.large);
			delivered++;
		}
		assertEquals(delivered, 2);
		fixture.advance(20_000);
		assertTrue(fixture.link.end(id).isEmpty(),
				"a pause caused by a slow caller does not count as missing progress");
		fixture.credit(id, 2 * this.large.length());
		assertFalse(run.paused);
	}

	@Test
	public void aSlowLinkHoldsChunksBackUntilItIsWritable() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		fixture.link.writable = false;
		fixture.backend.last().answer(this.large);
		assertEquals(fixture.link.body(id), "");
		fixture.link.writable = true;
		fixture.link.onWritable.run();
		assertEquals(fixture.link.body(id), this.large);
	}

	@Test
	public void aCallerThatGoesAwayCancelsTheWorkInTheBackendServer() {
		AgentFixture fixture = new AgentFixture();
		fixture.cancel(fixture.submit());
		assertTrue(fixture.backend.last().cancelled);
		assertEquals(fixture.agent.load(), 0);
	}

	@Test
	public void aCancelledRequestInTheQueueNeverStarts() {
		AgentFixture fixture = new AgentFixture();
		fixture.pool = singleRequestPool(fixture);
		fixture.submit();
		RequestId waiting = fixture.submit();
		fixture.cancel(waiting);
		fixture.backend.last().answer("first");
		fixture.advance(50);
		assertEquals(fixture.backend.runs.size(), 1);
		assertEquals(fixture.resolve(waiting).getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
	}

	private static PoolSpec singleRequestPool(AgentFixture fixture) {
		PoolSpec pool = fixture.pool;
		return new PoolSpec(pool.name(), true, true, pool.loadBound(), 0.5, 2, 1, pool.queueLimit(), pool.queueWaitMs(),
				pool.progressTimeoutMs(), 16, 900_000, false, "", List.of());
	}

	@Test
	public void aLostConnectionIsResumedByOffset() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		FakeBackend.Run run = fixture.backend.last();
		run.head();
		run.data("hello ");
		fixture.link.close("test");
		run.data("world");
		run.end();
		FakeLink next = new FakeLink();
		fixture.resume(next, id, 3);
		assertTrue(next.sent.get(0).hasHead());
		assertEquals(next.sent.get(1).getChunk().getOffset(), 3);
		assertEquals(next.sent.get(1).getChunk().getData().toStringUtf8()
				+ next.sent.get(2).getChunk().getData().toStringUtf8(), "lo world");
		assertEquals(next.end(id).orElseThrow().getLength(), 11);
	}

	@Test
	public void aResponseCannotBeResumedTenSecondsAfterItsEnd() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		fixture.backend.last().answer("done");
		fixture.advance(RequestTable.RESUME_KEEP_MS + 1);
		FakeLink next = new FakeLink();
		fixture.resume(next, id, 0);
		assertEquals(next.resolution().getState(), RequestState.STATE_ENDED);
		assertEquals(next.resolution().getOutcome(), WireOutcome.OUTCOME_ANSWERED);
	}

	@Test
	public void repeatableWorkWithoutALinkIsCancelledAfterTenSeconds() {
		AgentFixture fixture = new AgentFixture();
		fixture.submit();
		fixture.link.close("test");
		fixture.advance(AgentSweep.DETACHED_LIMIT_MS / 2);
		fixture.backend.last().data("progress");
		fixture.advance(AgentSweep.DETACHED_LIMIT_MS / 2 - 1);
		assertFalse(fixture.backend.last().cancelled);
		fixture.advance(1);
		assertTrue(fixture.backend.last().cancelled);
		assertEquals(fixture.agent.load(), 0);
	}

	@Test
	public void queuedWorkWhoseRouterIsGoneDoesNotRun() {
		AgentFixture fixture = new AgentFixture();
		fixture.pool = singleRequestPool(fixture);
		fixture.submit();
		FakeLink lost = new FakeLink();
		RequestId waiting = fixture.submit(lost, (submit) -> submit);
		lost.close("test");
		fixture.advance(4_000);
		fixture.backend.last().data("progress");
		fixture.advance(4_000);
		fixture.backend.last().data("progress");
		fixture.advance(2_000);
		fixture.backend.last().end();
		fixture.advance(50);
		assertEquals(fixture.backend.runs.size(), 1);
		assertEquals(fixture.resolve(waiting).getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
	}

	@Test
	public void aResponseThatItsCallerNeverReadsIsGivenUpAtTheDeadline() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit((submit) -> submit.setInitialCredit(2).setDeadlineMs(1_000));
		fixture.backend.last().answer("unread");
		fixture.agent.drain();
		assertFalse(fixture.agent.drainProgress().done());
		fixture.advance(1_000);
		assertEquals(fixture.link.end(id).orElseThrow().getFailureCode(), "deadline-exceeded");
		assertTrue(fixture.agent.drainProgress().done());
	}

	@Test
	public void aRequestThatArrivesAfterItWasReportedAsUnknownNeverRuns() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = RequestId.newBuilder().setIncarnation(5).setSequence(5).build();
		Resolution resolution = fixture.resolve(id);
		assertEquals(resolution.getState(), RequestState.STATE_NOT_FOUND);
		assertEquals(resolution.getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
		fixture.submit((submit) -> submit.setId(id));
		assertEquals(fixture.backend.runs.size(), 0);
	}

	@Test
	public void aRepeatedFrameDoesNotRunTheRequestTwice() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		fixture.submit((submit) -> submit.setId(id));
		fixture.backend.last().answer("once");
		fixture.advance(60_000);
		fixture.submit((submit) -> submit.setId(id));
		assertEquals(fixture.backend.runs.size(), 1);
	}

	@Test
	public void aResponseThatBreaksOffEndsWithAnUnknownOutcome() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		FakeBackend.Run run = fixture.backend.last();
		run.head();
		run.data("half");
		run.fail(Backend.Break.BROKEN_OFF);
		End end = fixture.link.end(id).orElseThrow();
		assertEquals(end.getOutcome(), WireOutcome.OUTCOME_UNKNOWN);
		assertEquals(end.getFailureCode(), "backend-failed");
		assertEquals(fixture.resolve(id).getOutcome(), WireOutcome.OUTCOME_UNKNOWN);
		assertEquals(fixture.agent.load(), 0);
	}

	@Test
	public void aResponseWithoutProgressIsCancelledAndAnswered() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		fixture.backend.last().head();
		fixture.advance(fixture.pool.progressTimeoutMs() + 1);
		assertEquals(fixture.link.end(id).orElseThrow().getFailureCode(), "no-progress");
		assertTrue(fixture.backend.last().cancelled);
		assertEquals(fixture.link.finalFrames(id), 1);
	}

	@Test
	public void aRequestPastItsDeadlineIsCancelledAndAnswered() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit((submit) -> submit.setDeadlineMs(1_000));
		fixture.advance(1_000);
		assertEquals(fixture.link.end(id).orElseThrow().getFailureCode(), "deadline-exceeded");
		assertTrue(fixture.backend.last().cancelled);
	}

	@Test
	public void expiredWorkInTheQueueIsDroppedBeforeItRuns() {
		AgentFixture fixture = new AgentFixture();
		fixture.pool = singleRequestPool(fixture);
		fixture.submit();
		RequestId waiting = fixture.submit((submit) -> submit.setDeadlineMs(100));
		fixture.advance(100);
		Refused refused = fixture.link.refused(waiting).orElseThrow();
		assertEquals(refused.getFailureCode(), "deadline-exceeded");
		assertEquals(refused.getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
		assertEquals(fixture.backend.runs.size(), 1);
	}

	@Test
	public void aRequestThatMayTryAnotherServerIsRedirectedAtTheLoadBound() {
		AgentFixture fixture = new AgentFixture();
		fixture.load = new PoolLoad(4, 0, 3);
		fixture.submit();
		RequestId second = fixture.submit((submit) -> submit.setFinalTrial(false));
		Refused refused = fixture.link.refused(second).orElseThrow();
		assertTrue(refused.getRedirect());
		assertEquals(refused.getFailureCode(), "load-bound");
		assertEquals(refused.getLimit(), 1);
	}

	@Test
	public void queuedWorkStartsWhenTheLoadOfOthersRaisesTheBound() {
		AgentFixture fixture = new AgentFixture();
		fixture.load = new PoolLoad(4, 0, 3);
		fixture.submit();
		fixture.submit();
		assertEquals(fixture.agent.queued(), 1);
		fixture.load = new PoolLoad(4, 6, 3);
		fixture.advance(50);
		assertEquals(fixture.backend.runs.size(), 2);
	}

	@Test
	public void aRefusedConnectionProvesThatNothingRan() {
		AgentFixture fixture = new AgentFixture();
		fixture.backend.refusing = true;
		RequestId id = fixture.submit();
		Refused refused = fixture.link.refused(id).orElseThrow();
		assertEquals(refused.getFailureCode(), "backend-down");
		assertEquals(refused.getOutcome(), WireOutcome.OUTCOME_NOT_RUN);
		assertTrue(fixture.agent.backendDown());
		fixture.submit();
		assertEquals(fixture.backend.runs.size(), 0);
		fixture.backend.refusing = false;
		fixture.advance(BackendHealth.DOWN_PROBE_MS);
		fixture.submit();
		assertEquals(fixture.backend.runs.size(), 1);
	}

	@Test
	public void aDrainRefusesNewWorkAndFinishesWhatWasAccepted() {
		AgentFixture fixture = new AgentFixture();
		fixture.pool = singleRequestPool(fixture);
		RequestId running = fixture.submit((submit) -> submit.setChat("chat-1"));
		RequestId queued = fixture.submit((submit) -> submit.setChat("chat-2"));
		fixture.agent.drain();
		RequestId late = fixture.submit();
		assertEquals(fixture.link.refused(late).orElseThrow().getFailureCode(), "draining");
		assertTrue(fixture.link.refused(late).orElseThrow().getRedirect());
		assertFalse(fixture.agent.drainProgress().done());
		fixture.backend.last().answer("first");
		fixture.backend.last().answer("second");
		fixture.advance(50);
		assertEquals(fixture.link.body(running) + fixture.link.body(queued), "firstsecond");
		assertTrue(fixture.agent.drainProgress().done());
		assertEquals(fixture.offered, List.of("chat-1", "chat-2"));
	}

	@Test
	public void theDumpExplainsRequestsWithoutBodiesKeysAndQueries() {
		AgentFixture fixture = new AgentFixture();
		fixture.submit((submit) -> submit.setChat("private-chat"));
		fixture.backend.last().answer("private-answer");
		fixture.submitKeyed("private-key");
		String dump = fixture.agent.dump().toString();
		assertTrue(dump.contains("sent to the backend server"), dump);
		assertTrue(dump.contains("ended: complete after 14 bytes"), dump);
		assertFalse(dump.contains("private"), dump);
		assertFalse(dump.contains("secret"), dump);
	}

	@Test
	public void aFrameForAnUnknownRequestIsIgnored() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.nextId();
		fixture.credit(id, 5);
		fixture.cancel(id);
		fixture.agent.handle(fixture.link, Frame.newBuilder().setSubmit(Submit.newBuilder().setPool("other")).build());
		assertEquals(fixture.link.sent.get(0).getRefused().getFailureCode(), "unknown-pool");
	}

}

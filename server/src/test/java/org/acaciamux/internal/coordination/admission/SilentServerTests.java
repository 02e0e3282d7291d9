package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.admission.Backend.Health;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.WireOutcome;
import org.acaciamux.internal.state.record.PoolSpec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests and servers that an agent gives up although the server is sound
 * and only pauses.
 */
public class SilentServerTests {

	/** Longest pause of a sound server, in milliseconds. */
	private static final long PAUSE_MS = 1_500;

	private static final long TICK_MS = AgentService.TICK_MS;

	private static final Health SILENT = new Health(Health.State.SILENT, "");

	/**
	 * Guards against a response that ends because its server pauses, at each step.
	 */
	@Test
	public void aPauseOfTheServerEndsNoRequest() {
		AgentFixture fixture = new AgentFixture();
		fixture.pool = pool(fixture, 3, fixture.pool.progressTimeoutMs());
		RequestId sent = fixture.submit();
		RequestId keyed = fixture.submitKeyed("key");
		RequestId half = fixture.submit();
		RequestId queued = fixture.submit();
		List<FakeBackend.Run> runs = List.copyOf(fixture.backend.runs);
		assertEquals(runs.size(), 3);
		runs.get(2).head();
		runs.get(2).data("half ");
		fixture.backend.answersProbes = false;
		pass(fixture, PAUSE_MS);
		fixture.backend.answersProbes = true;
		fixture.backend.probes.forEach((probe) -> probe.complete(SILENT));
		runs.get(0).answer("sent");
		runs.get(1).answer("keyed");
		runs.get(2).data("whole");
		runs.get(2).end();
		fixture.backend.last().answer("queued");
		assertAnswered(fixture, sent, "sent");
		assertAnswered(fixture, keyed, "keyed");
		assertAnswered(fixture, half, "half whole");
		assertAnswered(fixture, queued, "queued");
		assertTrue(fixture.agent.suspects().isEmpty());
		assertFalse(fixture.agent.backendDown());
	}

	/**
	 * Guards against a response that is cut because its caller paused: the time in which
	 * the agent itself did not read is no silence of the server.
	 */
	@Test
	public void aPauseOfTheCallerIsNotTakenForSilenceOfTheServer() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit((submit) -> submit.setInitialCredit(0));
		FakeBackend.Run run = fixture.backend.last();
		String large = "x".repeat(ResponseSender.HIGH_WATER + 1);
		run.head();
		run.data(large);
		assertTrue(run.paused);
		pass(fixture, fixture.pool.progressTimeoutMs() + 1);
		fixture.credit(id, 2 * large.length());
		assertFalse(run.paused);
		pass(fixture, PAUSE_MS);
		run.data("end");
		run.end();
		assertAnswered(fixture, id, large + "end");
	}

	/**
	 * Guards against a response that is cut because a shorter limit comes into force
	 * while the server pauses within the limit under which the request was accepted.
	 */
	@Test
	public void aShorterLimitDoesNotEndAResponseThatBeganBefore() {
		AgentFixture fixture = new AgentFixture();
		RequestId id = fixture.submit();
		FakeBackend.Run run = fixture.backend.last();
		run.head();
		run.data("half ");
		fixture.pool = pool(fixture, 4, 1_000);
		pass(fixture, PAUSE_MS);
		run.data("whole");
		run.end();
		assertAnswered(fixture, id, "half whole");
	}

	/**
	 * Guards against a sound server that counts as crashed, and its requests as suspects,
	 * because it pauses while it is checked after one broken response.
	 */
	@Test
	public void aPauseWhileTheServerIsCheckedIsNoCrash() {
		AgentFixture fixture = new AgentFixture();
		fixture.submit();
		RequestId other = fixture.submit();
		FakeBackend.Run otherRun = fixture.backend.last();
		RequestId queued = queuedBehind(fixture);
		fixture.backend.answersProbes = false;
		fixture.backend.runs.get(0).fail(Backend.Break.BROKEN_OFF);
		long probeTimeoutMs = 1_000;
		for (long passed = 0; passed < PAUSE_MS; passed += TICK_MS) {
			fixture.advance(TICK_MS);
			int timedOut = (int) ((passed + TICK_MS - probeTimeoutMs) / BackendHealth.DOWN_PROBE_MS);
			for (int i = 0; passed + TICK_MS >= probeTimeoutMs && i <= timedOut; i++) {
				fixture.backend.probes.get(i).complete(SILENT);
			}
		}
		assertFalse(fixture.agent.backendDown());
		fixture.backend.probes.get(fixture.backend.probes.size() - 1).complete(fixture.backend.health());
		assertTrue(fixture.agent.suspects().isEmpty());
		otherRun.answer("other");
		assertAnswered(fixture, other, "other");
		assertTrue(fixture.link.refused(queued).isEmpty());
	}

	private static RequestId queuedBehind(AgentFixture fixture) {
		fixture.pool = pool(fixture, 2, fixture.pool.progressTimeoutMs());
		return fixture.submit();
	}

	private static void pass(AgentFixture fixture, long ms) {
		for (long passed = 0; passed < ms; passed += TICK_MS) {
			fixture.advance(TICK_MS);
		}
	}

	private static void assertAnswered(AgentFixture fixture, RequestId id, String body) {
		assertEquals(fixture.link.end(id).map((end) -> end.getOutcome()).orElse(null), WireOutcome.OUTCOME_ANSWERED);
		assertEquals(fixture.link.body(id), body);
	}

	private static PoolSpec pool(AgentFixture fixture, int maxConcurrency, long progressTimeoutMs) {
		PoolSpec pool = fixture.pool;
		return new PoolSpec(pool.name(), pool.model(), pool.repeatable(), 10.0, pool.reusePreference(),
				pool.candidates(), maxConcurrency, pool.queueLimit(), pool.queueWaitMs(), progressTimeoutMs,
				pool.claimPartitions(), pool.keyRetentionMs(), pool.checksFence(), pool.modelVersion(),
				pool.adapters());
	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a kept connection that is closed after a pause although a request waits
 * in its socket.
 */
public class ReadOpportunityTests {

	private static final long DECIDED_MS = 1_000;

	private final Deque<Runnable> scheduled = new ArrayDeque<>();

	private long nowMs;

	private long readUntilMs;

	private int runs;

	private ReadOpportunity opportunity;

	@BeforeMethod
	public void decide() {
		this.scheduled.clear();
		this.runs = 0;
		this.nowMs = DECIDED_MS;
		this.readUntilMs = DECIDED_MS;
		this.opportunity = new ReadOpportunity(() -> TimeUnit.MILLISECONDS.toNanos(this.nowMs),
				() -> TimeUnit.MILLISECONDS.toNanos(this.readUntilMs), (task, delay, unit) -> this.scheduled.add(task));
		this.opportunity.after(() -> this.runs++);
	}

	private void runScheduled(long ms, long readUntil) {
		this.nowMs = ms;
		this.readUntilMs = readUntil;
		this.scheduled.poll().run();
	}

	@Test
	public void actionRunsAfterEverythingBeforeItsDecisionHasBeenRead() {
		runScheduled(DECIDED_MS + 20, DECIDED_MS + 20);
		assertEquals(this.runs, 1);
		assertEquals(this.scheduled.size(), 0);
	}

	@Test
	public void pauseAfterTheDecisionDelaysTheAction() {
		runScheduled(DECIDED_MS + 3_000, DECIDED_MS - 10);
		assertEquals(this.runs, 0);
		runScheduled(DECIDED_MS + 3_020, DECIDED_MS - 10);
		assertEquals(this.runs, 0);
		runScheduled(DECIDED_MS + 3_040, DECIDED_MS + 3_040);
		assertEquals(this.runs, 1);
	}

}

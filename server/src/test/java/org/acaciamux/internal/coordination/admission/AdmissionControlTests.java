package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.testng.annotations.Test;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.admission.AdmissionControl.Decision;
import org.acaciamux.internal.coordination.admission.AdmissionControl.Gate;
import org.acaciamux.internal.coordination.admission.AdmissionControl.Verdict;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.PrioritySpec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a wrong load bound, against work that waits although it should be
 * refused at once, and against work that overtakes the queue.
 */
public class AdmissionControlTests {

	private static final PoolLoad ALONE = new PoolLoad(1, 0, 0);

	private final AdmissionControl<FairQueueTests.Item> admission = new AdmissionControl<>();

	private static PoolSpec pool(double bound, int concurrency, int queueLimit) {
		return new PoolSpec("pool", true, true, bound, 0.5, 2, concurrency, queueLimit, 10_000, 5_000, 16, 900_000,
				false, "", List.of());
	}

	private FairQueueTests.Item item(String organisation, double share, long nowMs) {
		return new FairQueueTests.Item(new OrganisationSpec(organisation, 1, share), PrioritySpec.defaults("normal"),
				nowMs, nowMs + 60_000, new Object());
	}

	@Test
	public void theBoundIsNotOneTooHighBecauseOfRounding() {
		// 1.1 * 50 / 5 is slightly above 11 in floating point.
		assertEquals(AdmissionControl.limit(pool(1.1, 64, 8), new PoolLoad(5, 49, 4), 0), 11);
		assertEquals(AdmissionControl.limit(pool(1.25, 64, 8), new PoolLoad(10, 79, 10), 0), 10);
		assertEquals(AdmissionControl.limit(pool(1.25, 64, 8), new PoolLoad(10, 80, 10), 0), 11);
	}

	@Test
	public void oneRequestIsAdmissibleWhenTheMeanIsBelowOne() {
		assertEquals(AdmissionControl.limit(pool(1.25, 64, 8), new PoolLoad(100, 0, 99), 0), 1);
	}

	@Test
	public void anOrganisationCannotFillTheQueueBeyondItsShare() {
		AdmissionControl<FairQueueTests.Item> control = new AdmissionControl<>();
		PoolSpec pool = pool(1.25, 1, 4);
		control.offer(item("big", 0.5, 0), pool, ALONE, false, 0);
		assertEquals(control.offer(item("big", 0.5, 0), pool, ALONE, false, 0).decision(), Decision.QUEUE);
		assertEquals(control.offer(item("big", 0.5, 0), pool, ALONE, false, 0).decision(), Decision.QUEUE);
		Verdict refused = control.offer(item("big", 0.5, 0), pool, ALONE, false, 0);
		assertEquals(refused.decision(), Decision.REFUSE);
		assertEquals(refused.failure().code(), FailureCode.QUEUE_FULL);
		assertTrue(refused.failure().retryAfterMs() > 0);
		assertEquals(control.offer(item("small", 0.5, 0), pool, ALONE, false, 0).decision(), Decision.QUEUE);
	}

	@Test
	public void workWhoseExpectedWaitIsTooLongIsRefusedAtOnceWithTheEstimate() {
		AdmissionControl<FairQueueTests.Item> control = new AdmissionControl<>();
		PoolSpec pool = pool(1.25, 1, 1_000);
		control.offer(item("big", 1.0, 0), pool, ALONE, false, 0);
		long now = 0;
		for (int i = 0; i < 20; i++) {
			now += 1_000;
			control.ended(true, now);
			control.offer(item("big", 1.0, now), pool, ALONE, false, now);
		}
		int queued = 0;
		Verdict verdict = control.offer(item("big", 1.0, now), pool, ALONE, false, now);
		while (verdict.decision() == Decision.QUEUE) {
			queued++;
			verdict = control.offer(item("big", 1.0, now), pool, ALONE, false, now);
		}
		assertTrue(queued >= 7 && queued <= 13, "at one request a second, " + queued + " fit into 10 s");
		long retryMs = verdict.failure().retryAfterMs();
		assertTrue(retryMs >= 8_000 && retryMs <= 16_000, "retry after " + retryMs + " ms");
		assertEquals(control.offer(item("small", 1.0, now), pool, ALONE, false, now).decision(), Decision.QUEUE,
				"a small organisation does not wait for the big one's backlog");
	}

	@Test
	public void nothingIsAdmittedWhileTheServerIsCheckedOrDown() {
		PoolSpec pool = pool(1.25, 4, 8);
		this.admission.gate(Gate.PAUSED);
		assertEquals(this.admission.offer(item("org", 1.0, 0), pool, ALONE, false, 0).decision(), Decision.QUEUE);
		assertEquals(this.admission.admit(pool, ALONE, 0), List.of());
		this.admission.gate(Gate.CLOSED);
		Verdict verdict = this.admission.offer(item("org", 1.0, 0), pool, ALONE, false, 0);
		assertEquals(verdict.failure().code(), FailureCode.BACKEND_DOWN);
	}

	@Test
	public void newWorkDoesNotOvertakeTheQueue() {
		AdmissionControl<FairQueueTests.Item> control = new AdmissionControl<>();
		PoolSpec pool = pool(1.25, 1, 8);
		control.offer(item("org", 1.0, 0), pool, ALONE, false, 0);
		control.offer(item("org", 1.0, 0), pool, ALONE, false, 0);
		control.ended(true, 1);
		assertEquals(control.offer(item("org", 1.0, 1), pool, ALONE, true, 1).decision(), Decision.REDIRECT);
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.List;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.direct.AttemptPolicy.Decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that run twice and against refusals of requests that have run.
 */
public class AttemptPolicyTests {

	static ServiceRoute route(RouteKind kind, boolean resumable) {
		return new ServiceRoute("r", "a.example", "/r/", kind, List.of(new ServiceRoute.Target("s", 1)), 1_000, 100,
				300, 2, 0, false, resumable);
	}

	@Test
	public void unsafeRequestThatMayHaveRunIsNeverSentAgain() {
		for (SendResult result : List.of(SendResult.BROKEN, SendResult.SILENT, SendResult.SERVER_ERROR)) {
			AttemptPolicy policy = new AttemptPolicy(route(RouteKind.NON_IDEMPOTENT, false));
			assertEquals(policy.after(result, false), Decision.FAIL, result.toString());
		}
	}

	@Test
	public void unsafeRequestThatDidNotRunIsSentAgain() {
		AttemptPolicy policy = new AttemptPolicy(route(RouteKind.NON_IDEMPOTENT, false));
		assertEquals(policy.after(SendResult.NOT_SENT, false), Decision.SEND_AGAIN);
		assertEquals(policy.after(SendResult.REJECTED, false), Decision.SEND_AGAIN);
	}

	@Test
	public void requestThatNeverRanIsRefusedAndOthersFail() {
		AttemptPolicy never = new AttemptPolicy(route(RouteKind.IDEMPOTENT, false));
		never.after(SendResult.REJECTED, false);
		assertEquals(never.giveUp(false), Decision.REFUSE);
		AttemptPolicy ran = new AttemptPolicy(route(RouteKind.IDEMPOTENT, false));
		ran.after(SendResult.BROKEN, false);
		ran.after(SendResult.REJECTED, false);
		assertEquals(ran.giveUp(false), Decision.FAIL);
	}

	@Test
	public void safeRequestRunsOnNoMoreServersThanItsRouteAllows() {
		AttemptPolicy policy = new AttemptPolicy(route(RouteKind.IDEMPOTENT, false));
		assertEquals(policy.after(SendResult.BROKEN, false), Decision.SEND_AGAIN);
		assertEquals(policy.after(SendResult.BROKEN, false), Decision.FAIL);
	}

	@Test
	public void silentSendIsTakenOverOnlyIfTheRequestMayRunOnceMore() {
		assertFalse(new AttemptPolicy(route(RouteKind.NON_IDEMPOTENT, false)).allowsAnotherRun());
		assertFalse(new AttemptPolicy(route(RouteKind.STREAMING, false)).allowsAnotherRun());
		AttemptPolicy policy = new AttemptPolicy(route(RouteKind.STREAMING, true));
		assertTrue(policy.allowsAnotherRun());
		policy.after(SendResult.BROKEN, true);
		assertFalse(policy.allowsAnotherRun());
	}

	@Test
	public void silentSendIsNotTakenOverAfterManyRejections() {
		AttemptPolicy policy = new AttemptPolicy(route(RouteKind.IDEMPOTENT, false));
		for (int i = 0; i < 4; i++) {
			assertTrue(policy.allowsAnotherRun());
			policy.after(SendResult.REJECTED, true);
		}
		assertFalse(policy.allowsAnotherRun());
	}

	@Test
	public void startedStreamBreaksOffUnlessItMayBeResumed() {
		assertEquals(new AttemptPolicy(route(RouteKind.STREAMING, false)).after(SendResult.BROKEN, true),
				Decision.BREAK_OFF);
		assertEquals(new AttemptPolicy(route(RouteKind.STREAMING, true)).after(SendResult.BROKEN, true),
				Decision.SEND_AGAIN);
	}

	@Test
	public void repeatedRejectionsEndInARefusal() {
		AttemptPolicy policy = new AttemptPolicy(route(RouteKind.IDEMPOTENT, false));
		Decision decision = Decision.SEND_AGAIN;
		for (int i = 0; i < 10 && decision == Decision.SEND_AGAIN; i++) {
			decision = policy.after(SendResult.REJECTED, false);
		}
		assertEquals(decision, Decision.REFUSE);
	}

	@Test
	public void onlySendsThatArrivedCountAgainstTheRetryBudget() {
		AttemptPolicy policy = new AttemptPolicy(route(RouteKind.IDEMPOTENT, false));
		policy.after(SendResult.NOT_SENT, false);
		assertFalse(policy.nextIsRetry());
		policy.after(SendResult.REJECTED, false);
		assertTrue(policy.nextIsRetry());
	}

}

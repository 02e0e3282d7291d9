package org.acaciamux.internal.transport.http.direct;

import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against responses that are taken for late ones to an earlier request although no
 * request was sent to which they could belong.
 */
public class SentAttemptsTests {

	private final SentAttempts attempts = new SentAttempts();

	private SentAttempts with(int count) {
		SentAttempts sent = new SentAttempts();
		for (int i = 0; i < count; i++) {
			sent.sent("t" + i);
		}
		return sent;
	}

	private static AttemptMatch match(SentAttempts sent, String id) {
		return sent.match(Set.of(id));
	}

	@Test
	public void aResponseWithTheLastIdAnswersTheLastRequest() {
		assertEquals(match(with(3), "t2"), AttemptMatch.SAME);
	}

	@Test
	public void aResponseWithAnEarlierIdIsLate() {
		SentAttempts sent = with(SentAttempts.MAX_REMEMBERED + 1);
		for (int i = 0; i < SentAttempts.MAX_REMEMBERED; i++) {
			assertEquals(match(sent, "t" + i), AttemptMatch.EARLIER);
		}
	}

	@Test
	public void aResponseWithAnIdThatWasNotSentIsNotLate() {
		for (int count : new int[] { 1, 2, 5, SentAttempts.MAX_REMEMBERED + 1 }) {
			assertEquals(match(with(count), "other"), AttemptMatch.OTHER);
		}
	}

	@Test
	public void anIdThatIsNotRememberedIsNotLate() {
		SentAttempts sent = with(SentAttempts.MAX_REMEMBERED + 2);
		assertEquals(match(sent, "other"), AttemptMatch.OTHER);
		assertEquals(match(sent, "t0"), AttemptMatch.OTHER);
		for (int i = 1; i <= SentAttempts.MAX_REMEMBERED; i++) {
			assertEquals(match(sent, "t" + i), AttemptMatch.EARLIER);
		}
	}

	@Test
	public void aResponseWithSeveralIdsIsNotLate() {
		assertEquals(with(3).match(Set.of("t1", "t2")), AttemptMatch.OTHER);
		assertEquals(with(3).match(Set.of("t0", "t1")), AttemptMatch.OTHER);
	}

	@Test
	public void aFailureWithoutIdMayAnswerTheLastRequest() {
		assertEquals(this.attempts.match(Set.of()), AttemptMatch.MISSING);
		assertTrue(with(1).mayAnswerLast(AttemptMatch.MISSING, true));
		assertTrue(with(9).mayAnswerLast(AttemptMatch.MISSING, true));
	}

	@Test
	public void aSuccessWithoutIdMayBeLateOnlyBehindAnEarlierResponse() {
		assertTrue(with(1).mayAnswerLast(AttemptMatch.MISSING, false));
		assertFalse(with(2).mayAnswerLast(AttemptMatch.MISSING, false));
	}

	@Test
	public void aLateResponseNeverAnswersTheLastRequest() {
		assertFalse(with(2).mayAnswerLast(AttemptMatch.EARLIER, true));
		assertTrue(with(2).mayAnswerLast(AttemptMatch.OTHER, false));
	}

	@Test
	public void sentIdsAreKnown() {
		assertFalse(this.attempts.contains(""));
		assertTrue(with(2).contains("t0"));
		assertTrue(with(2).contains("t1"));
		assertFalse(with(2).contains("t2"));
	}

}

package org.acaciamux.internal.coordination.claim;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.claim.IdempotencyKey.Age;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against keys that are expired, too far in the future or not UUIDs of version 7
 * but pass as valid, and against taking one key in upper and lower case for two.
 */
public class IdempotencyKeyTests {

	private static final String TEXT = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";

	private final IdempotencyKey key = IdempotencyKey.parse(TEXT).orElseThrow();

	@Test
	public void theTimestampOfTheExampleInRfc9562IsRead() {
		assertEquals(this.key.timestampMs(), 1_645_557_742_000L);
	}

	@Test
	public void upperAndLowerCaseAreTheSameKey() {
		assertEquals(IdempotencyKey.parse(TEXT.toLowerCase(java.util.Locale.ROOT)).orElseThrow(), this.key);
	}

	@Test
	public void otherVersionsAndVariantsAreRejected() {
		assertTrue(IdempotencyKey.parse("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").isEmpty()
				&& IdempotencyKey.parse("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f").isEmpty()
				&& IdempotencyKey.parse("retry-1").isEmpty());
	}

	@Test
	public void aKeyExpiresAfterTheRetention() {
		assertEquals(this.key.age(this.key.timestampMs() + 1_000, 1_000), Age.VALID);
		assertEquals(this.key.age(this.key.timestampMs() + 1_001, 1_000), Age.EXPIRED);
	}

	@Test
	public void aKeyFromTheFutureIsAcceptedWithinAMinute() {
		assertEquals(this.key.age(this.key.timestampMs() - 60_000, 1_000), Age.VALID);
		assertEquals(this.key.age(this.key.timestampMs() - 60_001, 1_000), Age.FUTURE);
	}

}

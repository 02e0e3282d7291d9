package org.acaciamux.internal.transport.http.direct;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a lowered idle time that closes connections which callers still use, and
 * against one that never comes into force.
 */
public class IdleLimitTests {

	private static final long NANOS_PER_MS = 1_000_000;

	private final IdleLimit limit = new IdleLimit();

	private long inForceMs(long configuredMs, long nowMs) {
		return this.limit.inForceMs(configuredMs, nowMs * NANOS_PER_MS);
	}

	@Test
	public void loweredLimitComesIntoForceAfterTheFormerOneHasPassed() {
		assertEquals(inForceMs(1_000, 0), 1_000);
		assertEquals(inForceMs(200, 500), 1_000);
		assertEquals(inForceMs(200, 1_500), 1_000);
		assertEquals(inForceMs(200, 1_501), 200);
		assertEquals(inForceMs(300, 1_502), 300);
		assertEquals(inForceMs(200, 1_503), 300);
		assertEquals(inForceMs(200, 1_804), 200);
	}

	@Test
	public void eachLoweringRestartsTheTime() {
		assertEquals(inForceMs(1_000, 0), 1_000);
		assertEquals(inForceMs(500, 100), 1_000);
		assertEquals(inForceMs(200, 1_000), 1_000);
		assertEquals(inForceMs(200, 2_000), 1_000);
		assertEquals(inForceMs(200, 2_001), 200);
	}

}

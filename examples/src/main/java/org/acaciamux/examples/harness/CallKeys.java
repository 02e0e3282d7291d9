package org.acaciamux.examples.harness;

import java.security.SecureRandom;
import java.util.UUID;

/**
 * Creates idempotency keys: UUIDs of version 7 (RFC 9562). Stateless and thread-safe.
 */
public final class CallKeys {

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final long VERSION_7 = 0x7000L;

	private static final long VARIANT = 0x8000_0000_0000_0000L;

	private CallKeys() {
	}

	/**
	 * Create a key with the current time.
	 * @return the key
	 */
	public static String next() {
		return at(System.currentTimeMillis());
	}

	/**
	 * Create a key with a given time.
	 * @param epochMs milliseconds since 1970
	 * @return the key
	 */
	public static String at(long epochMs) {
		long high = (epochMs << 16) | VERSION_7 | (RANDOM.nextLong() & 0xFFF);
		long low = VARIANT | (RANDOM.nextLong() >>> 2);
		return new UUID(high, low).toString();
	}

}

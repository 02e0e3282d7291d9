package org.acaciamux.internal.coordination.claim;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * An idempotency key: a UUID version 7 (RFC 9562) in lower case. Its timestamp
 * distinguishes an expired key from a new one without stored state. Immutable and
 * thread-safe.
 *
 * @param text the key in lower case
 * @param timestampMs the time in the key, milliseconds since 1970
 */
public record IdempotencyKey(String text, long timestampMs) {

	/** How far in the future a key's time may be, to allow for clock skew. */
	public static final long MAX_FUTURE_MS = 60_000;

	private static final Pattern VERSION_7 = Pattern
		.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");

	/**
	 * Parse a key.
	 * @param text the key in upper or lower case
	 * @return the key, or empty if the text is not a UUID version 7
	 */
	public static Optional<IdempotencyKey> parse(String text) {
		String lower = text.strip().toLowerCase(Locale.ROOT);
		if (!VERSION_7.matcher(lower).matches()) {
			return Optional.empty();
		}
		long timestamp = Long.parseLong(lower.substring(0, 8) + lower.substring(9, 13), 16);
		return Optional.of(new IdempotencyKey(lower, timestamp));
	}

	/**
	 * Return the partition of this key.
	 * @param partitions the number of partitions of the pool, at least 1
	 * @return the number of the partition, 0 to {@code partitions - 1}
	 */
	public int partition(int partitions) {
		return Math.floorMod(mix(Long.parseUnsignedLong(this.text.substring(24), 16)), partitions);
	}

	/**
	 * Check the age of this key.
	 * @param nowMs the current time, milliseconds since 1970
	 * @param retentionMs how long a key is remembered, in milliseconds
	 * @return whether the key is valid, expired or too far in the future
	 */
	public Age age(long nowMs, long retentionMs) {
		if (this.timestampMs > nowMs + MAX_FUTURE_MS) {
			return Age.FUTURE;
		}
		return (this.timestampMs < nowMs - retentionMs) ? Age.EXPIRED : Age.VALID;
	}

	private static int mix(long bits) {
		long mixed = (bits ^ (bits >>> 33)) * 0xff51afd7ed558ccdL;
		return (int) (mixed ^ (mixed >>> 33));
	}

	/**
	 * Result of the check of a key's age.
	 */
	public enum Age {

		/** The key is within the retention. */
		VALID,
		/** The key is older than the retention. */
		EXPIRED,
		/** The key's time is too far in the future. */
		FUTURE

	}

}

package org.acaciamux.internal.coordination.claim;

import java.util.Optional;

/**
 * One entry of a segment. Encoded compactly, as text with spaces between the fields,
 * because each group write rewrites the whole segment. Immutable and thread-safe.
 *
 * @param type what happened to the key
 * @param key the idempotency key
 * @param digest the digest of the call, empty unless the entry is a claim
 * @param number time of the claim in milliseconds since 1970, or the status of an answer
 */
record SegmentEntry(Type type, IdempotencyKey key, String digest, long number) {

	private static final String NO_DIGEST = "-";

	static SegmentEntry claim(IdempotencyKey key, String digest, long timeMs) {
		return new SegmentEntry(Type.CLAIM, key, digest, timeMs);
	}

	static SegmentEntry of(Type type, IdempotencyKey key, long number) {
		return new SegmentEntry(type, key, "", number);
	}

	String encode() {
		String digestField = this.digest.isEmpty() ? NO_DIGEST : this.digest;
		return this.type.letter + " " + this.key.text() + " " + digestField + " " + this.number;
	}

	/**
	 * Parse an entry. An entry of a type that a newer version added counts as
	 * {@link Type#UNKNOWN}, so its key does not run here.
	 */
	static Optional<SegmentEntry> parse(String text) {
		String[] fields = text.split(" ");
		if (fields.length < 4) {
			return Optional.empty();
		}
		String digest = fields[2].equals(NO_DIGEST) ? "" : fields[2];
		return IdempotencyKey.parse(fields[1])
			.map((key) -> new SegmentEntry(Type.of(fields[0]), key, digest, Long.parseLong(fields[3])));
	}

	/**
	 * Types of entries.
	 */
	enum Type {

		/** The key's call is about to run. */
		CLAIM("C"),
		/** The key never runs; written instead of a claim. */
		REFUSED("R"),
		/** The claimed call was answered. */
		ANSWERED("A"),
		/** The claimed call was not sent and never runs. */
		NOT_SENT("N"),
		/** The claimed call ended without an answer. */
		UNKNOWN("U");

		private final String letter;

		Type(String letter) {
			this.letter = letter;
		}

		private static Type of(String letter) {
			for (Type type : values()) {
				if (type.letter.equals(letter)) {
					return type;
				}
			}
			return UNKNOWN;
		}

	}

}

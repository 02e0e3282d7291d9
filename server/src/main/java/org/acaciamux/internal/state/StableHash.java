package org.acaciamux.internal.state;

/**
 * 64-bit hashes that are the same in all processes and builds, for rendezvous hashing and
 * digests. Not cryptographic. Thread-safe; holds no state.
 */
public final class StableHash {

	/** 2<sup>64</sup> divided by the golden ratio, the initial value of a hash. */
	private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

	/** First multiplier of the SplitMix64 finalizer. */
	private static final long MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;

	/** Second multiplier of the SplitMix64 finalizer. */
	private static final long MULTIPLIER_2 = 0x94D049BB133111EBL;

	private StableHash() {
	}

	/**
	 * Hash a text.
	 * @param text the text
	 * @return 64 mixed bits
	 */
	public static long of(String text) {
		return append(GOLDEN_RATIO, text);
	}

	/**
	 * Hash a chat within its pool, so that the rankings of servers for one chat in two
	 * pools are independent.
	 * @param pool the pool's name
	 * @param chat the identity of the chat
	 * @return 64 mixed bits
	 */
	public static long of(String pool, String chat) {
		return append(of(pool), chat);
	}

	/**
	 * Return the weight of a server for a chat; the server with the highest weight is
	 * ranked first.
	 * @param chat the chat's hash
	 * @param server the hash of the server's id
	 * @return the weight, compared as a signed number
	 */
	public static long weight(long chat, long server) {
		return mix(chat ^ server);
	}

	private static long append(long seed, String text) {
		long hash = seed;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * MULTIPLIER_1;
			hash ^= hash >>> 32;
		}
		return mix(hash + text.length());
	}

	/**
	 * Mix the bits of a value with the SplitMix64 finalizer.
	 * @param value the value
	 * @return 64 mixed bits
	 */
	public static long mix(long value) {
		long x = (value ^ (value >>> 30)) * MULTIPLIER_1;
		x = (x ^ (x >>> 27)) * MULTIPLIER_2;
		return x ^ (x >>> 31);
	}

}

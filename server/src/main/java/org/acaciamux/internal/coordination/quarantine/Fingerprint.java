package org.acaciamux.internal.coordination.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.google.protobuf.ByteString;

import org.acaciamux.internal.BrokenInvariant;

/**
 * Identifies requests that are the same to a backend server: the first 64 bits of the
 * SHA-256 of pool, path and body, the same on every agent. Thread-safe; holds no state.
 */
public final class Fingerprint {

	private Fingerprint() {
	}

	/**
	 * Compute a fingerprint.
	 * @param pool the pool's name
	 * @param path the path with its query
	 * @param body the body
	 * @return the fingerprint
	 */
	public static long of(String pool, String path, ByteString body) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			sha.update(pool.getBytes(StandardCharsets.UTF_8));
			sha.update((byte) 0);
			sha.update(path.getBytes(StandardCharsets.UTF_8));
			sha.update((byte) 0);
			sha.update(body.asReadOnlyByteBuffer());
			return ByteString.copyFrom(sha.digest()).asReadOnlyByteBuffer().getLong();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new BrokenInvariant("SHA-256 is missing, although every Java platform must provide it: " + ex);
		}
	}

}

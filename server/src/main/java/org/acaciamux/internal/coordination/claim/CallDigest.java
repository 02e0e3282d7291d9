package org.acaciamux.internal.coordination.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.acaciamux.internal.BrokenInvariant;

/**
 * SHA-256 of a call's method, path and body. Distinguishes a retry of a call from a
 * different call with the same key. Immutable and thread-safe.
 *
 * @param hex the digest, 64 hexadecimal digits in lower case
 */
public record CallDigest(String hex) {

	/**
	 * Compute the digest of a call.
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param body the body
	 * @return the digest
	 */
	public static CallDigest of(String method, String path, byte[] body) {
		try {
			MessageDigest sha = MessageDigest.getInstance("SHA-256");
			sha.update(method.getBytes(StandardCharsets.UTF_8));
			sha.update((byte) 0);
			sha.update(path.getBytes(StandardCharsets.UTF_8));
			sha.update((byte) 0);
			return new CallDigest(HexFormat.of().formatHex(sha.digest(body)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new BrokenInvariant("SHA-256 is missing, although every Java platform must provide it: " + ex);
		}
	}

}

package org.acaciamux.internal.transport.http;

/**
 * Limits on what callers may send. Immutable and thread-safe.
 *
 * @param maxRequestLineBytes longest request line in bytes, at least 64
 * @param maxHeaderBytes largest header section in bytes, at least 256
 * @param maxBodyBytes largest body in bytes, 0 to 15 MiB, so that it fits in one frame
 * between processes
 * @param maxConnections connections open at once, at least 1; further ones are answered
 * with status 503 and closed
 * @param maxBufferedBytes request bodies that all connections together hold, at least 1
 * @param requestTimeoutMs longest time from the first to the last byte of a request in
 * milliseconds, at least 1
 * @param idleTimeoutMs longest time that a connection stays open without a request in
 * milliseconds, at least 1
 */
public record HttpLimits(int maxRequestLineBytes, int maxHeaderBytes, int maxBodyBytes, int maxConnections,
		long maxBufferedBytes, long requestTimeoutMs, long idleTimeoutMs) {

	private static final int LARGEST_BODY_BYTES = 15 << 20;

	public HttpLimits {
		if (maxBodyBytes < 0 || maxBodyBytes > LARGEST_BODY_BYTES) {
			throw new IllegalArgumentException(
					"maxBodyBytes must be 0 to " + LARGEST_BODY_BYTES + ", got " + maxBodyBytes);
		}
	}

	/**
	 * Return the default limits.
	 * @return the limits
	 */
	public static HttpLimits defaults() {
		return new HttpLimits(8 << 10, 32 << 10, 8 << 20, 10_000, 256L << 20, 10_000, 75_000);
	}

}

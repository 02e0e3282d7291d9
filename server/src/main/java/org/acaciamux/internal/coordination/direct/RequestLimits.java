package org.acaciamux.internal.coordination.direct;

/**
 * Limits of the traffic configuration on what callers send. Immutable and thread-safe.
 *
 * @param headerBytes largest size of all headers of a request, in bytes
 * @param bodyBytes largest size of a request's body, in bytes
 * @param headerTimeoutMs longest time from the first byte of a request to the end of its
 * headers, in milliseconds
 * @param idleTimeoutMs longest time that a connection stays open between requests, in
 * milliseconds
 */
public record RequestLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
}

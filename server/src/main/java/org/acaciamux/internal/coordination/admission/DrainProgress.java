package org.acaciamux.internal.coordination.admission;

/**
 * What a drain waits for. Immutable and thread-safe.
 *
 * @param draining whether the drain has begun
 * @param done whether the process may stop: every request that was accepted has ended,
 * every response was sent, and the caches were handed over
 * @param running requests that the backend server runs
 * @param queued requests that wait
 * @param unsent responses that were not sent completely, or claims that are being written
 * @param transfers caches that are being handed over
 * @param oldestMs age of the oldest request in milliseconds
 */
public record DrainProgress(boolean draining, boolean done, int running, int queued, int unsent, int transfers,
		long oldestMs) {
}

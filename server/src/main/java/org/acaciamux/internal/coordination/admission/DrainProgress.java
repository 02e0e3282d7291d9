package org.acaciamux.internal.coordination.admission;

/**
 * The state of a drain and the work that it waits for. Immutable and thread-safe.
 *
 * @param draining whether the drain has begun
 * @param done whether the process may stop: every request that was accepted has ended,
 * every response was sent, and the caches were handed over
 * @param running requests that the backend server runs
 * @param queued requests in the queue
 * @param unsent started requests whose claim is being written or whose response was not
 * sent completely
 * @param transfers cache transfers that wait or run
 * @param oldestMs age of the oldest request in milliseconds
 */
public record DrainProgress(boolean draining, boolean done, int running, int queued, int unsent, int transfers,
		long oldestMs) {
}

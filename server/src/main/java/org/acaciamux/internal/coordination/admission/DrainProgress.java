package org.acaciamux.internal.coordination.admission;

/**
 * The state of a drain and the work that it waits for. Immutable and thread-safe.
 *
 * @param draining whether the drain has begun
 * @param done whether the process may stop: every request that was accepted has ended,
 * every response was sent, and the caches were handed over or the time for this is over
 * @param running requests that hold an admission slot
 * @param queued requests in the queue
 * @param unsent started requests whose claim is being written or whose response was not
 * sent completely
 * @param transfers cache transfers that wait or run
 * @param oldestMs time since the arrival of the oldest started request in milliseconds, 0
 * if there is none
 */
public record DrainProgress(boolean draining, boolean done, int running, int queued, int unsent, int transfers,
		long oldestMs) {
}

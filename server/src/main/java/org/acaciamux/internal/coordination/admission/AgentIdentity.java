package org.acaciamux.internal.coordination.admission;

/**
 * Identifies one run of an agent process. Immutable and thread-safe.
 *
 * @param id the VM's id
 * @param pool the pool that the backend server belongs to
 * @param incarnation the random number drawn when the process started
 */
public record AgentIdentity(String id, String pool, long incarnation) {
}

package org.acaciamux.settings;

/**
 * Settings of the agent role. Immutable and thread-safe.
 *
 * @param pool the pool that the backend server belongs to
 * @param backend the address at which the backend server accepts HTTP requests
 */
public record AgentSettings(String pool, Endpoint backend) {
}

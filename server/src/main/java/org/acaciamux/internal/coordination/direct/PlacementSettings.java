package org.acaciamux.internal.coordination.direct;

/**
 * Speeds of model engines that placement assumes. Immutable and thread-safe.
 *
 * @param promptTokensPerMs prompt tokens that an engine reads in a millisecond
 * @param stepMsPerRequest milliseconds by which one more running request delays each
 * output token of the others
 */
public record PlacementSettings(double promptTokensPerMs, double stepMsPerRequest) {
}

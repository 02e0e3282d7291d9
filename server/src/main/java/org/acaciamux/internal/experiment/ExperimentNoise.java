package org.acaciamux.internal.experiment;

/**
 * Slow periods of the servers of an experiment, which share their VMs with others.
 * Immutable and thread-safe.
 *
 * @param share share of time in which work is slow, from 0.0 for none to below 1.0
 * @param factor duration of work in these times as a multiple of the usual, at least 1
 * @param periodMs mean length of a slow period, in milliseconds
 */
public record ExperimentNoise(double share, double factor, double periodMs) {

	static final ExperimentNoise NONE = new ExperimentNoise(0, 1, 1);

}

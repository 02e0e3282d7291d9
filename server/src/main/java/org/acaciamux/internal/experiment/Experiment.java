package org.acaciamux.internal.experiment;

import java.util.List;

/**
 * Definition of an experiment, which runs each policy with each number of engines under
 * the same load. Immutable and thread-safe.
 *
 * @param seed seed of all random choices; the same seed gives the same result
 * @param fleet the fleet
 * @param load the load
 * @param policies the policies compared
 * @param engineCounts the numbers of engines compared
 */
public record Experiment(long seed, ExperimentFleet fleet, ExperimentLoad load, List<ExperimentPolicy> policies,
		List<Integer> engineCounts) {
}

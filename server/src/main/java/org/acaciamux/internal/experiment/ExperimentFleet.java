package org.acaciamux.internal.experiment;

/**
 * The fleet of an experiment. Immutable and thread-safe.
 *
 * @param routers number of routers, at least 1
 * @param engines number of model engines, at least 1
 * @param slots number of requests that an engine processes at once
 * @param memoryTokens number of tokens that fit into an engine's memory
 * @param promptTokensPerMs number of prompt tokens that an engine reads per millisecond
 * @param stepMs time for one output token of a single request, in milliseconds
 * @param stepMicrosPerRequest microseconds that each further running request adds to it
 * @param hopMs time of a message from one process to another, in milliseconds
 * @param workMs duration of a request in a slot of a plain service, in milliseconds; 0
 * for model engines
 * @param noise slow periods of the servers
 */
public record ExperimentFleet(int routers, int engines, int slots, long memoryTokens, double promptTokensPerMs,
		double stepMs, double stepMicrosPerRequest, double hopMs, double workMs, ExperimentNoise noise) {

	ExperimentFleet(int routers, int engines, int slots, long memoryTokens, double promptTokensPerMs, double stepMs,
			double stepMicrosPerRequest, double hopMs) {
		this(routers, engines, slots, memoryTokens, promptTokensPerMs, stepMs, stepMicrosPerRequest, hopMs, 0,
				ExperimentNoise.NONE);
	}

	boolean plain() {
		return this.workMs > 0;
	}

	ExperimentFleet withEngines(int number) {
		return new ExperimentFleet(this.routers, number, this.slots, this.memoryTokens, this.promptTokensPerMs,
				this.stepMs, this.stepMicrosPerRequest, this.hopMs, this.workMs, this.noise);
	}

}

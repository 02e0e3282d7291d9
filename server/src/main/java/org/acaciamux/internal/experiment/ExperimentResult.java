package org.acaciamux.internal.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * Result of one policy with one number of engines. Not thread-safe, because the outcomes
 * are not.
 *
 * @param policy the policy
 * @param engines the number of engines
 * @param outcomes how the requests ended
 * @param reused share of prompt tokens that engines did not have to read, 0.0 to 1.0
 */
record ExperimentResult(ExperimentPolicy policy, int engines, Outcomes outcomes, double reused) {

	/**
	 * Run all policies and numbers of engines of an experiment.
	 * @param experiment the experiment
	 * @return the results, ordered by number of engines and policy as in the file
	 */
	static List<ExperimentResult> of(Experiment experiment) {
		List<ExperimentResult> results = new ArrayList<>();
		for (int engines : experiment.engineCounts()) {
			for (ExperimentPolicy policy : experiment.policies()) {
				FleetModel model = new FleetModel(experiment.seed(), experiment.fleet().withEngines(engines),
						experiment.load(), policy);
				Outcomes outcomes = model.run();
				results.add(new ExperimentResult(policy, engines, outcomes, model.reused()));
			}
		}
		return results;
	}

	String label() {
		return this.policy.label() + ", " + this.engines + " engines";
	}

}

package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciamux.Outcome;

/**
 * Compares the outcomes reported to callers with the calls that backend servers ran. Does
 * not use the state of the ledgers.
 */
final class ClaimChecker {

	private final Map<String, List<String>> executions = new HashMap<>();

	private final Map<String, Set<String>> answers = new HashMap<>();

	private final Set<String> notRun = new HashSet<>();

	private final List<String> violations = new ArrayList<>();

	private int unknown;

	void recordExecution(String key, String agent) {
		this.executions.computeIfAbsent(key, (ignored) -> new ArrayList<>()).add(agent);
	}

	void recordOutcome(String key, Outcome outcome, String body) {
		if (outcome == Outcome.NOT_RUN) {
			this.notRun.add(key);
		}
		else if (outcome == Outcome.ANSWERED) {
			this.answers.computeIfAbsent(key, (ignored) -> new HashSet<>()).add(body);
		}
		else {
			this.unknown++;
		}
	}

	void checkAnswered(int unanswered) {
		if (unanswered != 0) {
			this.violations.add(unanswered + " calls without a final outcome");
		}
	}

	void checkOwnership(boolean ownsPartitions, String state) {
		if (!ownsPartitions) {
			this.violations.add("an agent without faults does not own the partitions that it took over: " + state);
		}
	}

	/**
	 * Return descriptions of all violations, empty if there are none.
	 */
	List<String> violations() {
		List<String> all = new ArrayList<>(this.violations);
		this.executions.forEach((key, agents) -> {
			if (agents.size() > 1) {
				all.add("key " + key + " ran more than once: " + agents);
			}
			if (this.notRun.contains(key)) {
				all.add("key " + key + " ran at " + agents + " although a caller was told not-run");
			}
		});
		this.answers.forEach((key, bodies) -> {
			if (bodies.size() > 1 || !this.executions.containsKey(key)) {
				all.add("key " + key + " has the answers " + bodies + "; it ran at " + this.executions.get(key));
			}
		});
		return all;
	}

	String summary() {
		return this.executions.size() + " executed, " + this.answers.size() + " answered, " + this.notRun.size()
				+ " not run, " + this.unknown + " times unknown";
	}

	int executed() {
		return this.executions.size();
	}

}

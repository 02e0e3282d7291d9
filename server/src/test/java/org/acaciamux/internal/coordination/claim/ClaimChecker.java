package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciamux.Outcome;

/**
 * Checks what callers were told against what backend servers ran. Knows nothing of the
 * ledgers.
 */
final class ClaimChecker {

	private final Map<String, List<String>> executions = new HashMap<>();

	private final Map<String, Set<String>> answers = new HashMap<>();

	private final Set<String> notRun = new HashSet<>();

	private final List<String> violations = new ArrayList<>();

	private int unknown;

	void executed(String key, String where) {
		this.executions.computeIfAbsent(key, (ignored) -> new ArrayList<>()).add(where);
	}

	void told(String key, Outcome outcome, String body) {
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

	void unanswered(int open) {
		if (open != 0) {
			this.violations.add(open + " calls without a final outcome");
		}
	}

	void afterwards(boolean serves, String state) {
		if (!serves) {
			this.violations.add("an agent without faults does not own what it took: " + state);
		}
	}

	/**
	 * Return what was violated, empty if nothing was.
	 */
	List<String> violations() {
		List<String> all = new ArrayList<>(this.violations);
		this.executions.forEach((key, where) -> {
			if (where.size() > 1) {
				all.add("key " + key + " ran more than once: " + where);
			}
			if (this.notRun.contains(key)) {
				all.add("key " + key + " ran at " + where + " although a caller was told not-run");
			}
		});
		this.answers.forEach((key, bodies) -> {
			if (bodies.size() > 1 || !this.executions.containsKey(key)) {
				all.add("key " + key + " has the answers " + bodies + " of " + this.executions.get(key));
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

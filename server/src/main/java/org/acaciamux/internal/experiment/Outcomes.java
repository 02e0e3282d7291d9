package org.acaciamux.internal.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How the requests of one run ended, by kind, by organisation and by second. Used by one
 * thread.
 */
final class Outcomes {

	private final Map<String, Group> kinds = new TreeMap<>();

	private final Map<String, Group> organisations = new TreeMap<>();

	private final Map<Integer, Group> seconds = new TreeMap<>();

	private final Group all = new Group();

	private final Group retried = new Group();

	void add(ExperimentLoad.Kind kind, String organisation, double startedMs, double firstTokenMs, Outcome outcome,
			boolean wasRetried) {
		this.all.add(firstTokenMs, outcome);
		this.kinds.computeIfAbsent(kind.name(), (name) -> new Group()).add(firstTokenMs, outcome);
		this.organisations.computeIfAbsent(organisation, (name) -> new Group()).add(firstTokenMs, outcome);
		this.seconds.computeIfAbsent((int) (startedMs / 1_000), (second) -> new Group()).add(firstTokenMs, outcome);
		if (wasRetried) {
			this.retried.add(firstTokenMs, outcome);
		}
	}

	Group all() {
		return this.all;
	}

	Group retried() {
		return this.retried;
	}

	Map<String, Group> kinds() {
		return this.kinds;
	}

	Map<String, Group> organisations() {
		return this.organisations;
	}

	Map<Integer, Group> seconds() {
		return this.seconds;
	}

	/**
	 * How a request of a caller ended.
	 */
	enum Outcome {

		/** Completed, with the first token within the goal. */
		IN_TIME,

		/** Completed, with the first token after the goal. */
		LATE,

		/** Refused without a retry, or again at the retry. */
		REFUSED,

		/** Not completed at the caller's time limit. */
		TIMED_OUT

	}

	/**
	 * Requests counted together. Used by one thread.
	 */
	static final class Group {

		private static final int PERCENT = 100;

		private final Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);

		private final List<Double> firstTokenMs = new ArrayList<>();

		private void add(double firstToken, Outcome outcome) {
			this.counts.merge(outcome, 1, Integer::sum);
			if (firstToken >= 0) {
				this.firstTokenMs.add(firstToken);
			}
		}

		int total() {
			return this.counts.values().stream().mapToInt(Integer::intValue).sum();
		}

		int count(Outcome outcome) {
			return this.counts.getOrDefault(outcome, 0);
		}

		double share(Outcome... outcomes) {
			int sum = Arrays.stream(outcomes).mapToInt(this::count).sum();
			return (total() != 0) ? (double) sum / total() : 0;
		}

		/**
		 * Return a percentile of the time to the first token.
		 * @param percent 0 to 100
		 * @return milliseconds, 0 if there was no first token
		 */
		double firstTokenMs(int percent) {
			if (this.firstTokenMs.isEmpty()) {
				return 0;
			}
			double[] sorted = this.firstTokenMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
			return sorted[Math.min(sorted.length - 1, sorted.length * percent / PERCENT)];
		}

	}

}

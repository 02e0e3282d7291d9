package org.acaciamux.internal.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.acaciamux.internal.experiment.Outcomes.Group;
import org.acaciamux.internal.experiment.Outcomes.Outcome;

/**
 * Runs an experiment and writes its report: tables in Markdown and two plots.
 * Thread-safe; holds no state.
 */
public final class ExperimentReport {

	/** File name of the report. */
	public static final String FILE = "report.md";

	private static final int MEDIAN = 50;

	private static final int P95 = 95;

	private static final String COLUMNS = " | asked | in time | late | refused | timed out | first token p50, p95 (ms) |";

	private ExperimentReport() {
	}

	/**
	 * Run an experiment and write its report.
	 * @param experiment the experiment
	 * @param directory the directory for the files; created if it is missing
	 * @return the lines of the report
	 * @throws IOException if a file cannot be written
	 */
	public static List<String> write(Experiment experiment, Path directory) throws IOException {
		List<ExperimentResult> results = ExperimentResult.of(experiment);
		List<String> lines = lines(experiment, results);
		Files.createDirectories(directory);
		Files.write(directory.resolve(FILE), lines);
		plot(directory, "in-time.svg", "share in time by second", results, (group) -> group.share(Outcome.IN_TIME));
		plot(directory, "first-token.svg", "first token, 95th percentile by second, in ms", results,
				(group) -> group.firstTokenMs(P95));
		return lines;
	}

	private static void plot(Path directory, String file, String title, List<ExperimentResult> results,
			ToDoubleFunction<Group> value) throws IOException {
		LinePlot plot = new LinePlot(title);
		for (ExperimentResult result : results) {
			plot.line(result.label(),
					result.outcomes()
						.seconds()
						.entrySet()
						.stream()
						.map((entry) -> new LinePlot.Point(entry.getKey(), value.applyAsDouble(entry.getValue())))
						.toList());
		}
		Files.writeString(directory.resolve(file), plot.svg());
	}

	private static List<String> lines(Experiment experiment, List<ExperimentResult> results) {
		List<String> lines = new ArrayList<>();
		lines.add("# Experiment");
		lines.add("");
		lines.add("Seed " + experiment.seed() + ", " + experiment.load().seconds() + " s, "
				+ experiment.fleet().routers() + " routers. A model, not a measurement: see docs/EXPERIMENTS.md.");
		lines.add("");
		lines.add("| policy" + COLUMNS + " prompt tokens reused | returned callers served |");
		lines.add("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
		for (ExperimentResult result : results) {
			Group retried = result.outcomes().retried();
			lines.add(row(result.label(), result.outcomes().all()) + share(result.reused()) + " | "
					+ share(retried.share(Outcome.IN_TIME, Outcome.LATE)) + " of " + retried.total() + " |");
		}
		for (ExperimentResult result : results) {
			table(lines, result.label() + ": kinds of request", result.outcomes().kinds());
			table(lines, result.label() + ": organisations", result.outcomes().organisations());
		}
		lines.add("");
		lines.add("![share in time](in-time.svg)");
		lines.add("![first token](first-token.svg)");
		return lines;
	}

	private static void table(List<String> lines, String title, Map<String, Group> groups) {
		lines.add("");
		lines.add("## " + title);
		lines.add("");
		lines.add("| " + COLUMNS.substring(1));
		lines.add("| --- | --- | --- | --- | --- | --- | --- |");
		groups.forEach((name, group) -> lines.add(row(name, group).stripTrailing()));
	}

	private static String row(String name, Group group) {
		return "| " + name + " | " + group.total() + " | " + share(group.share(Outcome.IN_TIME)) + " | "
				+ share(group.share(Outcome.LATE)) + " | " + share(group.share(Outcome.REFUSED)) + " | "
				+ share(group.share(Outcome.TIMED_OUT)) + " | " + Math.round(group.firstTokenMs(MEDIAN)) + ", "
				+ Math.round(group.firstTokenMs(P95)) + " | ";
	}

	private static String share(double value) {
		return String.format(Locale.ROOT, "%.3f", value);
	}

}

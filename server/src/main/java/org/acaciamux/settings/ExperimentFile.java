package org.acaciamux.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;

import org.acaciamux.internal.experiment.Experiment;
import org.acaciamux.internal.experiment.ExperimentFleet;
import org.acaciamux.internal.experiment.ExperimentLoad;
import org.acaciamux.internal.experiment.ExperimentNoise;
import org.acaciamux.internal.experiment.ExperimentPolicy;

/**
 * Reads the YAML file of an experiment and checks it as a whole. Thread-safe; holds no
 * state.
 */
public final class ExperimentFile {

	private static final int MAX_SECONDS = 3_600;

	private static final int MAX_COUNT = 10_000;

	private static final int MAX_TOKENS = 100_000_000;

	/** Longest time limit of a caller: one hour, in milliseconds. */
	private static final int MAX_MS = 3_600_000;

	/** Defaults of the engines, from the data sheet of the engines in use. */
	private static final int SLOTS = 128;

	private static final int MEMORY_TOKENS = 500_000;

	private static final double PROMPT_TOKENS_PER_MS = 112;

	private static final double MAX_NOISE_SHARE = 0.9;

	private static final double MAX_NOISE_FACTOR = 100;

	private static final double STEP_MS = 3.4;

	private static final double STEP_MICROS_PER_REQUEST = 97;

	private ExperimentFile() {
	}

	/**
	 * Read a file.
	 * @param file the file
	 * @return the experiment, or all problems
	 */
	public static Either<List<SettingsProblem>, Experiment> read(Path file) {
		try {
			return parse(Files.readString(file));
		}
		catch (IOException ex) {
			return Either.left(List.of(new SettingsProblem(file.toString(), "cannot be read: " + ex, "load.yaml")));
		}
	}

	/**
	 * Read an experiment from a text.
	 * @param yaml the text
	 * @return the experiment, or all problems
	 */
	public static Either<List<SettingsProblem>, Experiment> parse(String yaml) {
		JsonNode tree;
		try {
			tree = new ObjectMapper(new YAMLFactory()).readTree(yaml);
		}
		catch (IOException ex) {
			return Either
				.left(List.of(new SettingsProblem("file", "is not valid YAML: " + ex.getMessage(), "seed: 1")));
		}
		if (!tree.isObject()) {
			return Either.left(List.of(new SettingsProblem("file", "must be a mapping", "seed: 1")));
		}
		List<SettingsProblem> problems = new ArrayList<>();
		SettingsNode root = SettingsNode.root(tree, problems);
		long seed = root.number("seed", 1, 0, Long.MAX_VALUE, "any");
		ExperimentFleet fleet = fleet(root.section("fleet"));
		ExperimentLoad load = load(root);
		Experiment experiment = new Experiment(seed, fleet, load, policies(root), engineCounts(root, fleet));
		root.reportUnknownKeys();
		return problems.isEmpty() ? Either.right(experiment) : Either.left(List.copyOf(problems));
	}

	private static ExperimentFleet fleet(SettingsNode node) {
		int routers = (int) node.number("routers", 4, 1, MAX_COUNT, "routers");
		int engines = (int) node.number("engines", 8, 1, MAX_COUNT, "engines");
		int slots = (int) node.number("slots", SLOTS, 1, MAX_COUNT, "requests");
		long memory = node.number("memoryTokens", MEMORY_TOKENS, 1, MAX_TOKENS, "tokens");
		double readRate = node.decimal("promptTokensPerMs", PROMPT_TOKENS_PER_MS, 0.001, MAX_TOKENS, "tokens");
		double step = node.decimal("stepMs", STEP_MS, 0.001, MAX_MS, "milliseconds");
		double perRequest = node.decimal("stepMicrosPerRequest", STEP_MICROS_PER_REQUEST, 0, MAX_MS, "microseconds");
		double hop = node.decimal("hopMs", 2, 0, MAX_MS, "milliseconds");
		double work = node.decimal("workMs", 0, 0, MAX_MS, "milliseconds; 0 means model engines");
		return new ExperimentFleet(routers, engines, slots, memory, readRate, step, perRequest, hop, work,
				noise(node.section("noise")));
	}

	private static ExperimentNoise noise(SettingsNode node) {
		double share = node.decimal("share", 0, 0, MAX_NOISE_SHARE, "share of time");
		double factor = node.decimal("factor", 2.5, 1, MAX_NOISE_FACTOR, "times the usual duration");
		double period = node.decimal("periodMs", 600, 1, MAX_MS, "milliseconds");
		return new ExperimentNoise(share, factor, period);
	}

	private static ExperimentLoad load(SettingsNode root) {
		int seconds = (int) root.number("seconds", 60, 1, MAX_SECONDS, "seconds");
		int organisations = (int) root.number("organisations", 1, 1, MAX_COUNT, "organisations");
		List<ExperimentLoad.Kind> kinds = root.sections("kinds", 1, "kinds: [{ name: chat, perSecond: 10 }]")
			.stream()
			.map(ExperimentFile::kind)
			.toList();
		List<ExperimentLoad.Surge> surges = root.sections("surges", 0, "surges: [{ atSecond: 20, times: 3 }]")
			.stream()
			.map((node) -> surge(node, organisations))
			.toList();
		return new ExperimentLoad(seconds, organisations, kinds, surges);
	}

	private static ExperimentLoad.Kind kind(SettingsNode node) {
		String name = node.name("name", "chat");
		double rate = node.decimal("perSecond", 10, 0.001, 1_000_000, "requests a second");
		int shared = (int) node.number("sharedTokens", 1_000, 1, MAX_TOKENS, "tokens");
		int chats = (int) node.number("chats", 100, 1, 1_000_000, "chats");
		int own = (int) node.number("ownTokens", 100, 1, MAX_TOKENS, "tokens");
		int output = (int) node.number("outputTokens", 200, 1, MAX_TOKENS, "tokens");
		long goal = node.number("goalMs", 1_000, 1, MAX_MS, "milliseconds");
		long limit = node.number("limitMs", 10_000, 1, MAX_MS, "milliseconds");
		int rank = (int) node.number("rank", 0, 0, 9, "0 is the most urgent");
		int clump = (int) node.number("clump", 1, 1, MAX_COUNT, "requests at the same time");
		return new ExperimentLoad.Kind(name, rate, shared, chats, own, output, goal, limit, rank, clump);
	}

	private static ExperimentLoad.Surge surge(SettingsNode node, int organisations) {
		double at = node.decimal("atSecond", 0, 0, MAX_SECONDS, "seconds");
		double length = node.decimal("forSeconds", 5, 0, MAX_SECONDS, "seconds");
		double times = node.decimal("times", 2, 0, 1_000, "times the usual rate");
		int organisation = (int) node.number("organisation", 0, 0, organisations, "0 means all");
		return new ExperimentLoad.Surge(at, length, times, organisation);
	}

	private static List<ExperimentPolicy> policies(SettingsNode root) {
		List<ExperimentPolicy> policies = new ArrayList<>();
		String all = Arrays.stream(ExperimentPolicy.values())
			.map(ExperimentPolicy::label)
			.collect(Collectors.joining(", "));
		for (String label : root.texts("policies", "policies: [" + all + "]")) {
			Optional<ExperimentPolicy> policy = ExperimentPolicy.of(label);
			if (policy.isEmpty()) {
				root.problem("policies", "'" + label + "' is not one of " + all, "policies: [router]");
			}
			policy.ifPresent(policies::add);
		}
		return policies.isEmpty() ? List.of(ExperimentPolicy.ROUTER) : policies;
	}

	private static List<Integer> engineCounts(SettingsNode root, ExperimentFleet fleet) {
		List<Integer> counts = new ArrayList<>();
		for (String text : root.texts("engineCounts", "engineCounts: [6, 8, 10]")) {
			boolean valid = text.matches("[1-9]\\d{0,3}");
			if (!valid) {
				root.problem("engineCounts", "'" + text + "' must be a whole number from 1 to 9999",
						"engineCounts: [6, 8, 10]");
			}
			counts.add(valid ? Integer.parseInt(text) : 1);
		}
		return counts.isEmpty() ? List.of(fleet.engines()) : counts;
	}

}

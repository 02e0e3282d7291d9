package org.acaciamux.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;

import org.acaciamux.internal.protocol.JsonTrees;

/**
 * Reads the YAML or JSON settings of a router that calls backend servers itself and
 * checks them as a whole. Thread-safe; holds no state.
 */
public final class DirectSettingsFile {

	/**
	 * Default drain timeout, in milliseconds: the time until the load balancer stops
	 * sending requests, plus the time to finish those in flight.
	 */
	private static final long DRAIN_TIMEOUT_MS = 8_000;

	/** Default retry limits: a tenth of the requests, plus a burst of 20. */
	private static final double RETRY_RATIO = 0.1;

	private static final int RETRY_ALLOWANCE = 20;

	/**
	 * Default speeds of a model engine: according to the data sheet of the engines in
	 * use, 112 prompt tokens per millisecond and 97 microseconds per step for each
	 * running request.
	 */
	private static final int PROMPT_TOKENS_PER_MS = 112;

	private static final int STEP_MICROS_PER_REQUEST = 97;

	/** Evacuation timeout that an error message gives as an example, in milliseconds. */
	private static final long EXAMPLE_EVACUATION_TIMEOUT_MS = 5_000;

	/**
	 * Term of a deployment whose callers compete for few slots and whose backend servers
	 * have a bounded memory.
	 */
	private static final String PRESSURE_TERM = "pressure";

	private DirectSettingsFile() {
	}

	/**
	 * Read a file.
	 * @param file the file
	 * @return the settings, or all problems
	 */
	public static Either<List<SettingsProblem>, DirectSettings> read(Path file) {
		try {
			return parse(Files.readString(file));
		}
		catch (IOException ex) {
			return Either.left(List
				.of(new SettingsProblem(file.toString(), "cannot be read: " + ex, "/etc/acaciamux/direct.yaml")));
		}
	}

	/**
	 * Read settings from a text.
	 * @param yaml the text
	 * @return the settings, or all problems
	 */
	public static Either<List<SettingsProblem>, DirectSettings> parse(String yaml) {
		JsonNode tree;
		try {
			tree = tree(yaml);
		}
		catch (IOException ex) {
			return Either
				.left(List.of(new SettingsProblem("file", "is not valid YAML: " + ex.getMessage(), "id: router-1")));
		}
		if (!tree.isObject()) {
			return Either.left(List.of(new SettingsProblem("file", "must be a mapping of settings", "id: router-1")));
		}
		List<SettingsProblem> problems = new ArrayList<>();
		DirectSettings settings = settings(SettingsNode.root(tree, problems));
		return problems.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(problems));
	}

	// JSON text is also valid YAML, but the JSON parser starts in a tenth of the time.
	private static JsonNode tree(String text) throws IOException {
		return text.startsWith("{") ? JsonTrees.read(text.getBytes(StandardCharsets.UTF_8))
				: new ObjectMapper(new YAMLFactory()).readTree(text);
	}

	private static DirectSettings settings(SettingsNode root) {
		String id = root.name("id", "router-1");
		String domain = root.name("failureDomain", "tw-north-a");
		Endpoint listen = root.endpoint("listen", "10.0.1.11:8080");
		Endpoint readiness = root.endpoint("readiness", "10.0.1.11:8081");
		Endpoint peer = root.endpoint("peer", "10.0.1.11:7070");
		Optional<Endpoint> store = root.has("store") ? Optional.of(root.endpoint("store", "10.0.0.5:7000"))
				: Optional.empty();
		long drain = root.number("drainTimeoutMs", DRAIN_TIMEOUT_MS, 0, 86_400_000, "milliseconds");
		double ratio = root.decimal("retryRatio", RETRY_RATIO, 0, 1, "retries for each request");
		int allowance = (int) root.number("retryAllowance", RETRY_ALLOWANCE, 0, 1_000_000, "retries");
		SettingsNode engine = root.section("engine");
		int tokens = (int) engine.number("promptTokensPerMs", PROMPT_TOKENS_PER_MS, 1, 1_000_000, "tokens");
		int step = (int) engine.number("stepMicrosPerRequest", STEP_MICROS_PER_REQUEST, 0, 1_000_000, "microseconds");
		FeatureSettings features = features(root);
		ClientLimits clients = clientLimits(root.section("clientLimits"));
		root.reportUnknownKeys();
		return new DirectSettings(id, domain, listen, readiness, peer, store, drain, ratio, allowance, tokens, step,
				features, clients);
	}

	private static FeatureSettings features(SettingsNode root) {
		OptionalLong evacuation = root.has("evacuationTimeoutMs") ? OptionalLong
			.of(root.number("evacuationTimeoutMs", EXAMPLE_EVACUATION_TIMEOUT_MS, 1_000, 3_600_000, "milliseconds"))
				: OptionalLong.empty();
		double coldOverrun = root.decimal("coldOverrun", 0, 0, 100, "times the requests that a cold server tolerates");
		int coldAllowance = (int) root.number("coldAllowance", 0, 0, 1_000_000, "requests");
		int hedges = (int) root.number("hedgePercent", 0, 0, 100, "percent");
		boolean waits = root.has("terms") && root.texts("terms", "[pressure]").contains(PRESSURE_TERM);
		return new FeatureSettings(evacuation, coldOverrun, coldAllowance, hedges, waits);
	}

	private static ClientLimits clientLimits(SettingsNode section) {
		ClientLimits defaults = ClientLimits.defaults();
		return new ClientLimits((int) section.number("memoryPercent", defaults.memoryPercent(), 5, 60, "percent"),
				(int) section.number("connections", defaults.connections(), 0, 1_000_000, "connections"),
				(int) section.number("headerFields", defaults.headerFields(), 16, 100_000, "fields"),
				(int) section.number("bodyBytesPerSecond", defaults.bodyBytesPerSecond(), 0, 1_000_000,
						"bytes a second"),
				(int) section.number("descriptors", defaults.descriptors(), 0, 1_000_000, "descriptors"));
	}

}

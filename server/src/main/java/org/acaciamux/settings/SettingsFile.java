package org.acaciamux.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;

/**
 * Reads the YAML settings of a process and checks them as a whole: the result is either
 * complete settings or every problem found. Thread-safe; holds no state.
 */
public final class SettingsFile {

	private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory())
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

	private static final int DEFAULT_CALLS_PER_SECOND = 50;

	private static final String LOOPBACK = "127.0.0.1";

	private SettingsFile() {
	}

	/**
	 * Read a file.
	 * @param file the file
	 * @return the settings, or all problems
	 */
	public static Either<List<SettingsProblem>, NodeSettings> read(Path file) {
		try {
			return parse(Files.readString(file));
		}
		catch (IOException ex) {
			return Either.left(List.of(new SettingsProblem(file.toString(), "cannot be read: " + ex,
					"acaciamuxd --settings /etc/acaciamux/router.yaml")));
		}
	}

	/**
	 * Read settings from a text.
	 * @param yaml the text
	 * @return the settings, or all problems
	 */
	public static Either<List<SettingsProblem>, NodeSettings> parse(String yaml) {
		JsonNode tree;
		try {
			tree = YAML.readTree(yaml);
		}
		catch (JsonProcessingException ex) {
			return Either.left(List.of(new SettingsProblem("line " + lineOf(ex),
					"is not valid YAML: " + ex.getOriginalMessage(), "role: router")));
		}
		if (!tree.isObject()) {
			return Either.left(List.of(new SettingsProblem("file", "must be a mapping of settings", "role: router")));
		}
		List<SettingsProblem> problems = new ArrayList<>();
		NodeSettings settings = settings(SettingsNode.root(tree, problems));
		return problems.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(problems));
	}

	private static NodeSettings settings(SettingsNode root) {
		Role role = root.role("role");
		String id = root.name("id", "router-1");
		String region = root.name("region", "tw-north");
		String domain = root.name("failureDomain", "tw-north-a");
		Optional<Endpoint> listen = listen(root, role);
		Endpoint peer = bindAddress(root.section("peer"), LOOPBACK);
		Endpoint admin = bindAddress(root.section("admin"), LOOPBACK);
		PlatformSettings platform = platform(root.section("platform"));
		Optional<AgentSettings> agent = agent(root, role);
		LimitSettings limits = limits(root.section("limits"));
		int workers = (int) root.number("workers", 4, 1, 256, "threads");
		root.reportUnknownKeys();
		return new NodeSettings(role, id, region, domain, listen, peer, admin, platform, agent, limits, workers);
	}

	private static Optional<Endpoint> listen(SettingsNode root, Role role) {
		if (role == Role.AGENT) {
			if (root.has("listen")) {
				root.problem("listen", "is for routers only; an agent accepts no callers", "remove the section");
			}
			return Optional.empty();
		}
		return Optional.of(bindAddress(root.section("listen"), LOOPBACK));
	}

	private static Endpoint bindAddress(SettingsNode section, String defaultAddress) {
		return new Endpoint(section.address(defaultAddress), (int) section.number("port", 0, 0, 65_535, "port"));
	}

	private static PlatformSettings platform(SettingsNode section) {
		return new PlatformSettings(section.endpoint("objects", "10.0.0.5:7000"),
				section.endpoint("vms", "10.0.0.5:7001"),
				(int) section.number("callsPerSecond", DEFAULT_CALLS_PER_SECOND, 1, 10_000, "calls per second"));
	}

	private static Optional<AgentSettings> agent(SettingsNode root, Role role) {
		if (role == Role.ROUTER) {
			if (root.has("agent")) {
				root.problem("agent", "is for agents only", "remove the section, or set role: agent");
			}
			return Optional.empty();
		}
		SettingsNode section = root.section("agent");
		return Optional.of(new AgentSettings(section.name("pool", "rota-assistant"),
				section.endpoint("backend", "127.0.0.1:8000")));
	}

	private static LimitSettings limits(SettingsNode section) {
		LimitSettings defaults = LimitSettings.defaults();
		return new LimitSettings((int) section.number("bodyBytes", defaults.bodyBytes(), 1_024, 15_000_000, "bytes"),
				(int) section.number("headerBytes", defaults.headerBytes(), 1_024, 262_144, "bytes"),
				section.number("requestTimeoutMs", defaults.requestTimeoutMs(), 100, 600_000, "milliseconds"),
				(int) section.number("connections", defaults.connections(), 1, 1_000_000, "connections"),
				(int) section.number("requests", defaults.requests(), 1, 1_000_000, "requests"),
				section.number("drainTimeoutMs", defaults.drainTimeoutMs(), 0, 86_400_000, "milliseconds"));
	}

	private static int lineOf(JsonProcessingException ex) {
		return (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
	}

}

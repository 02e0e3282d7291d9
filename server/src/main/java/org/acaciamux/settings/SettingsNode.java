package org.acaciamux.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * Reads one mapping of a settings file and collects every problem instead of stopping at
 * the first. Invariant: a key is known once it was passed to a method that reads it;
 * {@link #reportUnknownKeys()} reports the others. Not thread-safe.
 */
final class SettingsNode {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?");

	private final String path;

	private final JsonNode node;

	private final List<SettingsProblem> problems;

	private final Set<String> known = new HashSet<>();

	private final List<SettingsNode> sections = new ArrayList<>();

	private SettingsNode(String path, JsonNode node, List<SettingsProblem> problems) {
		this.path = path;
		this.node = node;
		this.problems = problems;
	}

	static SettingsNode root(JsonNode node, List<SettingsProblem> problems) {
		return new SettingsNode("", node, problems);
	}

	boolean has(String key) {
		this.known.add(key);
		return this.node.has(key);
	}

	SettingsNode section(String key) {
		this.known.add(key);
		JsonNode child = this.node.path(key);
		if (!child.isMissingNode() && !child.isObject()) {
			problem(key, "must be a mapping", key + ": { ... }");
			child = MissingNode.getInstance();
		}
		SettingsNode section = new SettingsNode(pathOf(key) + ".", child, this.problems);
		this.sections.add(section);
		return section;
	}

	/**
	 * Read a list of mappings.
	 * @param key the key
	 * @param min the lowest number of entries
	 * @param example a valid line
	 * @return the entries, empty if there is a problem
	 */
	List<SettingsNode> sections(String key, int min, String example) {
		List<SettingsNode> entries = new ArrayList<>();
		for (JsonNode entry : list(key, min, example)) {
			if (!entry.isObject()) {
				problem(key, "must be a list of mappings", example);
				return List.of();
			}
			SettingsNode section = new SettingsNode(pathOf(key) + "[" + entries.size() + "].", entry, this.problems);
			this.sections.add(section);
			entries.add(section);
		}
		return entries;
	}

	/**
	 * Read a list of strings or numbers.
	 * @param key the key
	 * @param example a valid line
	 * @return the entries as strings, empty if the key is missing
	 */
	List<String> texts(String key, String example) {
		List<String> entries = new ArrayList<>();
		list(key, 0, example).forEach((entry) -> entries.add(entry.asText()));
		return entries;
	}

	private List<JsonNode> list(String key, int min, String example) {
		this.known.add(key);
		JsonNode value = this.node.path(key);
		List<JsonNode> entries = new ArrayList<>();
		if (!value.isMissingNode() && !value.isArray()) {
			problem(key, "must be a list", example);
			return entries;
		}
		value.forEach(entries::add);
		if (entries.size() < min) {
			problem(key, "must have at least " + min + " entry", example);
		}
		return entries;
	}

	String name(String key, String example) {
		Optional<String> text = text(key, example);
		if (text.isPresent() && !NAME.matcher(text.get()).matches()) {
			problem(key,
					"must be 1 to 64 characters of a-z, 0-9, '.' and '-', starting and ending with a letter or digit",
					key + ": " + example);
		}
		return text.orElse("");
	}

	Role role(String key) {
		Optional<String> text = text(key, "router");
		Optional<Role> role = text.flatMap(Role::of);
		if (text.isPresent() && role.isEmpty()) {
			problem(key, "is '" + text.get() + "', but must be router or agent", key + ": router");
		}
		return role.orElse(Role.ROUTER);
	}

	Endpoint endpoint(String key, String example) {
		Optional<String> text = text(key, example);
		Optional<Endpoint> endpoint = text.flatMap(Endpoint::parse).filter((value) -> value.port() > 0);
		if (text.isPresent() && endpoint.isEmpty()) {
			problem(key, "is '" + text.get() + "', but must be an IP address and a port of 1 to 65535",
					key + ": " + example);
		}
		return endpoint.orElseGet(() -> new Endpoint("127.0.0.1", 1));
	}

	String address(String defaultAddress) {
		if (!has("address")) {
			return defaultAddress;
		}
		Optional<String> text = text("address", "127.0.0.1");
		if (text.isPresent() && !Endpoint.isIpAddress(text.get())) {
			problem("address", "is '" + text.get() + "', but must be an IP address", "address: 127.0.0.1");
		}
		return text.orElse(defaultAddress);
	}

	long number(String key, long defaultValue, long min, long max, String unit) {
		if (!has(key)) {
			return defaultValue;
		}
		JsonNode value = this.node.get(key);
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < min || value.asLong() > max) {
			problem(key,
					"is '" + value.asText() + "', but must be a whole number (" + unit + ") from " + min + " to " + max,
					key + ": " + defaultValue);
			return defaultValue;
		}
		return value.asLong();
	}

	double decimal(String key, double defaultValue, double min, double max, String unit) {
		if (!has(key)) {
			return defaultValue;
		}
		JsonNode value = this.node.get(key);
		if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
			problem(key, "is '" + value.asText() + "', but must be a number (" + unit + ") from " + min + " to " + max,
					key + ": " + defaultValue);
			return defaultValue;
		}
		return value.asDouble();
	}

	void problem(String key, String message, String example) {
		this.problems.add(new SettingsProblem(pathOf(key), message, example));
	}

	void reportUnknownKeys() {
		Iterator<String> names = this.node.fieldNames();
		while (names.hasNext()) {
			String key = names.next();
			if (!this.known.contains(key)) {
				problem(key,
						"is not a known key; known here: " + String.join(", ", this.known.stream().sorted().toList()),
						"remove the line");
			}
		}
		this.sections.forEach(SettingsNode::reportUnknownKeys);
	}

	private Optional<String> text(String key, String example) {
		this.known.add(key);
		JsonNode value = this.node.path(key);
		if (value.isMissingNode() || value.isNull()) {
			problem(key, "is missing", key + ": " + example);
			return Optional.empty();
		}
		if (!value.isTextual()) {
			problem(key, "must be a string", key + ": " + example);
			return Optional.empty();
		}
		return Optional.of(value.asText());
	}

	private String pathOf(String key) {
		return this.path + key;
	}

}

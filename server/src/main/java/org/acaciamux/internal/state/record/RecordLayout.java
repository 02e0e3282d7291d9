package org.acaciamux.internal.state.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The fields of one record kind in one schema version, with their paths. Immutable and
 * thread-safe.
 *
 * @param kind the kind
 * @param apiVersion the schema version
 * @param fields the fields
 */
record RecordLayout(String kind, String apiVersion, List<RecordField> fields) {

	static final String V1 = "acaciamux/v1";

	static final String V2 = "acaciamux/v2";

	private static final List<RecordField> POOL = List.of(RecordField.flag("model", "true"),
			RecordField.flag("repeatable", "true"), RecordField.numberAbove("loadBound", 1.0, 10.0, "1.25"),
			RecordField.number("reusePreference", 0.0, 1.0, "0.5"), RecordField.whole("candidates", 1, 8, "2"),
			RecordField.whole("maxConcurrency", 1, 100_000, "64"), RecordField.whole("queueLimit", 0, 100_000, "512"),
			RecordField.whole("queueWaitMs", 1, 3_600_000, "30000"),
			RecordField.whole("progressTimeoutMs", 100, 3_600_000, "30000"),
			RecordField.whole("claimPartitions", 1, 256, "16"),
			RecordField.whole("keyRetentionMs", 60_000, 86_400_000, "900000"), RecordField.flag("checksFence", "false"),
			RecordField.text("modelVersion", "\"2026-05\""), RecordField.texts("adapters", "[\"stock\", \"notes\"]"));

	/** Paths of the fields that schema version 2 moved into groups. */
	private static final Map<String, String> POOL_V2_PATHS = Map.ofEntries(Map.entry("repeatable", "calls.repeatable"),
			Map.entry("progressTimeoutMs", "calls.progressTimeoutMs"), Map.entry("claimPartitions", "calls.partitions"),
			Map.entry("keyRetentionMs", "calls.keyRetentionMs"), Map.entry("loadBound", "placement.loadBound"),
			Map.entry("reusePreference", "placement.reusePreference"), Map.entry("candidates", "placement.candidates"),
			Map.entry("maxConcurrency", "placement.maxConcurrency"), Map.entry("queueLimit", "queue.limit"),
			Map.entry("queueWaitMs", "queue.waitMs"), Map.entry("checksFence", "engine.checksFence"),
			Map.entry("modelVersion", "engine.version"), Map.entry("adapters", "engine.adapters"));

	private static final List<RecordLayout> ALL = List.of(new RecordLayout(RecordKinds.BACKEND_POOL, V1, POOL),
			new RecordLayout(RecordKinds.BACKEND_POOL, V2,
					POOL.stream()
						.map((field) -> field.withPath(POOL_V2_PATHS.getOrDefault(field.name(), field.name())))
						.toList()),
			new RecordLayout(RecordKinds.ORGANISATION, V1,
					List.of(RecordField.whole("weight", 1, 1_000, "1"),
							RecordField.numberAbove("maxQueueShare", 0.0, 1.0, "0.5"))),
			new RecordLayout(RecordKinds.PRIORITY, V1, List.of(RecordField.whole("level", 0, 9, "5"),
					RecordField.whole("agingMs", 100, 3_600_000, "5000"))));

	static Optional<RecordLayout> of(String kind, String apiVersion) {
		return ALL.stream()
			.filter((layout) -> layout.kind.equals(kind) && layout.apiVersion.equals(apiVersion))
			.findFirst();
	}

	static List<String> versions(String kind) {
		return ALL.stream().filter((layout) -> layout.kind.equals(kind)).map(RecordLayout::apiVersion).toList();
	}

	static List<String> kinds() {
		return ALL.stream().map(RecordLayout::kind).distinct().toList();
	}

	Optional<RecordField> field(String path) {
		return this.fields.stream().filter((field) -> field.path().equals(path)).findFirst();
	}

	Set<String> groups() {
		return this.fields.stream()
			.map(RecordField::group)
			.filter((group) -> !group.isEmpty())
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Find the value of a field.
	 * @param spec the spec
	 * @param field the field
	 * @return the value, or empty if the field is absent
	 */
	static Optional<JsonNode> value(JsonNode spec, RecordField field) {
		JsonNode parent = field.group().isEmpty() ? spec : spec.path(field.group());
		return Optional.ofNullable(parent.get(field.leaf()));
	}

	/**
	 * Check the fields of a spec.
	 * @param spec the spec, an object
	 * @param strict whether unknown keys are problems
	 * @return all problems, empty if the spec is valid
	 */
	List<RecordProblem> check(ObjectNode spec, boolean strict) {
		List<RecordProblem> problems = new ArrayList<>();
		for (RecordField field : this.fields) {
			value(spec, field).flatMap(field::check).ifPresent(problems::add);
		}
		for (String group : groups()) {
			checkGroup(group, spec.get(group), strict, problems);
		}
		if (strict) {
			checkKeys("", spec, problems);
		}
		return problems;
	}

	private void checkGroup(String group, JsonNode value, boolean strict, List<RecordProblem> problems) {
		if (value == null) {
			return;
		}
		if (!value.isObject()) {
			problems.add(new RecordProblem("spec." + group, "must be a group of fields, but is " + value + ".",
					group + ": {" + exampleIn(group) + "}"));
			return;
		}
		if (strict) {
			checkKeys(group, value, problems);
		}
	}

	private void checkKeys(String group, JsonNode parent, List<RecordProblem> problems) {
		String prefix = group.isEmpty() ? "" : group + ".";
		parent.fieldNames().forEachRemaining((key) -> {
			String path = prefix + key;
			boolean known = field(path).isPresent() || (group.isEmpty() && groups().contains(key))
					|| (group.isEmpty() && RecordConversion.UNCONVERTED.equals(key));
			if (!known) {
				problems.add(
						new RecordProblem(
								"spec." + path, "is not a field of " + this.kind + " in " + this.apiVersion
										+ "; fields here: " + String.join(", ", keysIn(group)) + ".",
								exampleIn(group)));
			}
		});
	}

	private List<String> keysIn(String group) {
		List<String> keys = new ArrayList<>();
		this.fields.stream().filter((field) -> field.group().equals(group)).forEach((field) -> keys.add(field.leaf()));
		if (group.isEmpty()) {
			groups().stream().sorted().forEach(keys::add);
		}
		return keys;
	}

	private String exampleIn(String group) {
		return this.fields.stream()
			.filter((field) -> field.group().equals(group))
			.findFirst()
			.map((field) -> field.leaf() + ": " + field.example())
			.orElse("");
	}

}

package org.acaciamux.internal.state.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

/**
 * Reads and checks the records that operators write. Reading accepts unknown fields,
 * because a newer build may have added them; checking before a write reports them. All
 * problems are reported at once. Holds no state; thread-safe.
 */
public final class RecordSchema {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,126}[a-z0-9])?");

	private static final List<String> TOP_KEYS = List.of("apiVersion", "kind", "name", "spec");

	private RecordSchema() {
	}

	/**
	 * Return whether records of a kind have a schema; other kinds are kept raw.
	 * @param kind the kind
	 * @return whether {@link #read} applies
	 */
	public static boolean hasSchema(String kind) {
		return RecordLayout.kinds().contains(kind);
	}

	/**
	 * Check a record strictly before it is written.
	 * @param document the whole record
	 * @return all problems, empty if the record may be written
	 */
	public static List<RecordProblem> check(JsonNode document) {
		if (!document.isObject()) {
			return List.of(notAnObject(document));
		}
		List<RecordProblem> problems = new ArrayList<>();
		document.fieldNames().forEachRemaining((key) -> {
			if (!TOP_KEYS.contains(key)) {
				problems.add(new RecordProblem(key,
						"is not a key of a record; keys here: " + String.join(", ", TOP_KEYS) + ".", "spec: {}"));
			}
		});
		String name = document.path("name").asText("");
		if (!NAME.matcher(name).matches()) {
			problems.add(new RecordProblem("name",
					"must be 1 to 128 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends, but is \""
							+ name + "\".",
					"name: stock-plans"));
		}
		layout(document, problems).ifPresent((layout) -> problems.addAll(checkSpec(document, layout, true)));
		return List.copyOf(problems);
	}

	/**
	 * Read a record's settings.
	 * @param key the record's identity
	 * @param document the whole record
	 * @return the settings ({@link PoolSpec}, {@link OrganisationSpec} or
	 * {@link PrioritySpec}), or all problems
	 */
	public static Either<List<RecordProblem>, Object> read(RecordKey key, JsonNode document) {
		if (!document.isObject()) {
			return Either.left(List.of(notAnObject(document)));
		}
		List<RecordProblem> problems = new ArrayList<>();
		checkIdentity("kind", key.kind(), document, problems);
		checkIdentity("name", key.name(), document, problems);
		Optional<RecordLayout> layout = layout(document, problems);
		layout.ifPresent((known) -> problems.addAll(checkSpec(document, known, false)));
		if (!problems.isEmpty() || layout.isEmpty()) {
			return Either.left(List.copyOf(problems));
		}
		return Either.right(spec(key, new SpecReader(document.path("spec"), layout.get())));
	}

	/**
	 * Convert a record to another schema version of its kind. Unknown fields are kept.
	 * @param document the whole record
	 * @param apiVersion the schema version to convert to, for instance
	 * {@code acaciamux/v2}
	 * @return the converted record, or why it cannot be converted
	 */
	public static Either<List<RecordProblem>, JsonNode> convert(JsonNode document, String apiVersion) {
		List<RecordProblem> problems = new ArrayList<>();
		Optional<RecordLayout> from = layout(document, problems);
		String kind = document.path("kind").asText("");
		Optional<RecordLayout> to = RecordLayout.of(kind, apiVersion);
		if (from.isPresent() && to.isEmpty()) {
			problems.add(unknownVersion(kind, apiVersion));
		}
		if (from.isEmpty() || to.isEmpty()) {
			return Either.left(List.copyOf(problems));
		}
		ObjectNode result = document.deepCopy();
		result.put("apiVersion", apiVersion);
		if (document.get("spec") instanceof ObjectNode spec && !from.get().equals(to.get())) {
			result.set("spec", RecordConversion.convert(spec, from.get(), to.get()));
		}
		return Either.right(result);
	}

	private static RecordProblem notAnObject(JsonNode document) {
		return new RecordProblem("(record)",
				"must be an object with " + String.join(", ", TOP_KEYS) + ", but is " + document.getNodeType() + ".",
				"{apiVersion: acaciamux/v2, kind: BackendPool, name: stock-plans, spec: {}}");
	}

	private static void checkIdentity(String key, String expected, JsonNode document, List<RecordProblem> problems) {
		String found = document.path(key).asText("");
		if (!found.equals(expected)) {
			problems.add(new RecordProblem(key,
					"must equal the object's " + key + " \"" + expected + "\", but is \"" + found + "\".",
					key + ": " + expected));
		}
	}

	private static Optional<RecordLayout> layout(JsonNode document, List<RecordProblem> problems) {
		String kind = document.path("kind").asText("");
		if (!hasSchema(kind)) {
			problems.add(new RecordProblem("kind",
					"must be one of " + String.join(", ", RecordLayout.kinds()) + ", but is \"" + kind + "\".",
					"kind: BackendPool"));
			return Optional.empty();
		}
		String version = document.path("apiVersion").asText("");
		Optional<RecordLayout> layout = RecordLayout.of(kind, version);
		if (layout.isEmpty()) {
			problems.add(unknownVersion(kind, version));
		}
		return layout;
	}

	private static RecordProblem unknownVersion(String kind, String version) {
		List<String> known = RecordLayout.versions(kind);
		return new RecordProblem("apiVersion",
				"\"" + version + "\" is not a schema version of " + kind + " that this process knows; it knows "
						+ String.join(", ", known) + ". Write a known version or upgrade the processes first.",
				"apiVersion: " + known.get(known.size() - 1));
	}

	private static List<RecordProblem> checkSpec(JsonNode document, RecordLayout layout, boolean strict) {
		JsonNode spec = document.get("spec");
		if (spec instanceof ObjectNode object) {
			return layout.check(object, strict);
		}
		return List.of(new RecordProblem("spec",
				"must be an object with the fields of " + layout.kind() + ", but is " + spec + ".", "spec: {}"));
	}

	private static Object spec(RecordKey key, SpecReader reader) {
		return switch (key.kind()) {
			case RecordKinds.BACKEND_POOL -> pool(key.name(), reader);
			case RecordKinds.ORGANISATION -> organisation(key.name(), reader);
			default -> priority(key.name(), reader);
		};
	}

	private static PoolSpec pool(String name, SpecReader reader) {
		boolean model = reader.flag("model", true);
		PoolSpec base = model ? PoolSpec.modelDefaults(name) : PoolSpec.plainDefaults(name);
		return new PoolSpec(name, model, reader.flag("repeatable", base.repeatable()),
				reader.number("loadBound", base.loadBound()), reader.number("reusePreference", base.reusePreference()),
				(int) reader.whole("candidates", base.candidates()),
				(int) reader.whole("maxConcurrency", base.maxConcurrency()),
				(int) reader.whole("queueLimit", base.queueLimit()), reader.whole("queueWaitMs", base.queueWaitMs()),
				reader.whole("progressTimeoutMs", base.progressTimeoutMs()),
				(int) reader.whole("claimPartitions", base.claimPartitions()),
				reader.whole("keyRetentionMs", base.keyRetentionMs()), reader.flag("checksFence", base.checksFence()),
				reader.text("modelVersion", base.modelVersion()), reader.texts("adapters", base.adapters()));
	}

	private static OrganisationSpec organisation(String name, SpecReader reader) {
		OrganisationSpec base = OrganisationSpec.defaults(name);
		return new OrganisationSpec(name, (int) reader.whole("weight", base.weight()),
				reader.number("maxQueueShare", base.maxQueueShare()));
	}

	private static PrioritySpec priority(String name, SpecReader reader) {
		PrioritySpec base = PrioritySpec.defaults(name);
		return new PrioritySpec(name, (int) reader.whole("level", base.level()),
				reader.whole("agingMs", base.agingMs()));
	}

}

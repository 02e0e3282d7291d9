package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Checks all documents of a file and works out what applying them would write. Invariant:
 * plans exist only if every document is valid. An unknown field is accepted only if the
 * stored record has it too, because then a newer version has written it. Any other
 * unknown field is treated as a misspelt name. Holds no state of its own.
 */
final class ChangePlanner {

	private final RecordRules rules;

	private final ObjectApi api;

	ChangePlanner(RecordRules rules, ObjectApi api) {
		this.rules = rules;
		this.api = api;
	}

	/**
	 * Check documents without calling the platform.
	 * @param rules the rules of the record kinds
	 * @param file the file's name, printed in messages
	 * @param documents the documents
	 * @param acceptUnknown whether unknown fields alone do not make a document invalid;
	 * the caller then checks them against the stored record
	 * @return every fault of every document, or empty if all are valid
	 */
	static Optional<CliFailure> check(RecordRules rules, String file, List<JsonNode> documents, boolean acceptUnknown) {
		List<String> lines = new ArrayList<>();
		boolean invalid = false;
		for (JsonNode document : documents) {
			for (RecordFault fault : rules.check(document)) {
				lines.add(fault.line(RecordFile.subject(document)));
				invalid |= !(acceptUnknown && fault.unknownField());
			}
		}
		return invalid ? Optional.of(invalid(file, lines)) : Optional.empty();
	}

	Either<CliFailure, List<PlannedChange>> plan(String file, List<JsonNode> documents) {
		Optional<CliFailure> invalid = check(this.rules, file, documents, true);
		if (invalid.isPresent()) {
			return Either.left(invalid.get());
		}
		List<PlannedChange> plans = new ArrayList<>();
		List<String> unknown = new ArrayList<>();
		for (JsonNode document : documents) {
			Either<CliFailure, PlannedChange> plan = plan(document, unknown);
			if (plan.isLeft()) {
				return Either.left(plan.getLeft());
			}
			plans.add(plan.get());
		}
		return unknown.isEmpty() ? Either.right(plans) : Either.left(invalid(file, unknown));
	}

	private Either<CliFailure, PlannedChange> plan(JsonNode document, List<String> unknown) {
		String subject = RecordFile.subject(document);
		Either<StoreFailure, StoredObject> read = this.api.get(document.path("kind").asText(),
				document.path("name").asText());
		if (read.isLeft() && read.getLeft().kind() != StoreFailure.Kind.NOT_FOUND) {
			return Either.left(CliFailure.of(read.getLeft(), subject));
		}
		if (read.isLeft()) {
			reportUnknown(document, Documents.JSON.createObjectNode(), unknown);
			return Either.right(new PlannedChange(document, Optional.empty(), List.of(), List.of()));
		}
		StoredObject stored = read.get();
		return this.rules.convert(stored.value(), document.path("apiVersion").asText())
			.mapLeft((faults) -> notComparable(stored, faults))
			.map((converted) -> merge(document, stored, converted, unknown));
	}

	private PlannedChange merge(JsonNode document, StoredObject stored, JsonNode converted, List<String> unknown) {
		reportUnknown(document, converted, unknown);
		ObjectNode result = document.deepCopy();
		List<String> keptPaths = new ArrayList<>();
		for (String path : this.rules.preservedPaths(converted)) {
			Optional<JsonNode> inDocument = Documents.find(document, path);
			if (inDocument.isEmpty()) {
				Documents.copy(converted, result, path);
				keptPaths.add(path);
			}
			else if (inDocument.get().isNull()) {
				Documents.remove(result, path);
			}
		}
		List<FieldChange> changes = new ArrayList<>(FieldChange.between(converted, result));
		JsonNode storedVersion = stored.value().path("apiVersion");
		if (!storedVersion.equals(document.path("apiVersion"))) {
			changes.add(0, new FieldChange("apiVersion", Optional.of(storedVersion),
					Optional.of(document.path("apiVersion"))));
		}
		return new PlannedChange(result, Optional.of(stored), changes, keptPaths);
	}

	private void reportUnknown(JsonNode document, JsonNode stored, List<String> unknown) {
		for (RecordFault fault : this.rules.check(document)) {
			if (Documents.find(stored, fault.path()).isEmpty()) {
				unknown.add(fault.line(RecordFile.subject(document)));
			}
		}
	}

	private static CliFailure invalid(String file, List<String> lines) {
		List<String> all = new ArrayList<>(lines);
		all.add(file + ": " + lines.size() + " problem(s); nothing was written");
		all.add("next: correct the file and check it with: acaciamux validate -f " + file);
		return new CliFailure(CliExitCode.INVALID, all);
	}

	private static CliFailure notComparable(StoredObject stored, List<RecordFault> faults) {
		String subject = stored.kind() + "/" + stored.name();
		List<String> lines = new ArrayList<>();
		lines.add(subject + ": the stored record (version " + stored.version()
				+ ") cannot be compared, so nothing was written:");
		faults.forEach((fault) -> lines.add("  " + fault.line("stored")));
		lines.add("next: use the acaciamux of the version that wrote it, or delete the record first: acaciamux delete "
				+ stored.kind() + " " + stored.name());
		return new CliFailure(CliExitCode.INVALID, lines);
	}

}

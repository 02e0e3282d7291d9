package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Describes a version conflict: the record to be written, the record that is stored,
 * their differences, and what to do next. Holds no state; thread-safe.
 */
final class ConflictReport {

	private ConflictReport() {
	}

	/**
	 * Describe a write that was refused because the stored record has another version or
	 * is deleted.
	 * @param plan the change that was not written
	 * @param expected the version that the write expected, 0 for a new record
	 * @param failure the platform's answer, with the newer object if there is one
	 * @param file the file's name, printed in the advice
	 * @return the failure with its exit code and messages
	 */
	static CliFailure of(PlannedChange plan, long expected, StoreFailure failure, String file) {
		List<String> lines = new ArrayList<>();
		String subject = plan.subject();
		String stored = failure.current().map((object) -> "version " + object.version()).orElse("deleted");
		lines.add(subject + ": conflict: the write expected " + version(expected) + ", but the stored record is "
				+ stored + "; " + failure.detail());
		lines.add("yours (based on " + version(expected) + "):");
		indented(plan.document(), lines);
		lines.add("stored (" + stored + "):");
		failure.current().map(StoredObject::value).ifPresent((value) -> indented(value, lines));
		failure.current().ifPresent((object) -> differences(object.value(), plan.document(), lines));
		lines.addAll(advice(plan, failure.current(), file));
		return new CliFailure(CliExitCode.CONFLICT, lines);
	}

	private static List<String> advice(PlannedChange plan, Optional<StoredObject> current, String file) {
		if (current.isEmpty()) {
			return List.of("next: to create the record again, run: acaciamux apply -f " + file
					+ " --if-version 0 (a file with this record only)");
		}
		return List.of(
				"next: acaciamux get " + plan.kind() + " " + plan.name() + " --output yaml, take over what you want,",
				"      then apply against the version you have seen: acaciamux apply -f " + file + " --if-version "
						+ current.get().version() + " (a file with this record only)");
	}

	private static void differences(JsonNode stored, JsonNode document, List<String> lines) {
		List<FieldChange> changes = FieldChange.between(stored, document);
		lines.add(changes.isEmpty() ? "both have the same content" : "from stored to yours:");
		changes.forEach((change) -> lines.add("  " + change.line()));
	}

	private static void indented(JsonNode document, List<String> lines) {
		Documents.yaml(document).lines().forEach((line) -> lines.add("  " + line));
	}

	private static String version(long version) {
		return (version == 0) ? "no record" : "version " + version;
	}

}

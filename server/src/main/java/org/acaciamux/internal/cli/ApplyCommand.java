package org.acaciamux.internal.cli;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Writes the records of a file. Everything is read and checked before the first write;
 * writes then go in the file's order and stop at the first failure.
 */
final class ApplyCommand implements Command {

	private final RecordRules rules;

	@ParametersDelegate
	private final PlatformOptions platform = new PlatformOptions();

	@Parameter(names = { "-f", "--file" }, required = true,
			description = "file or directory of YAML documents, - for standard input")
	private String file;

	@Parameter(names = "--if-version", description = "write only if this version is stored, 0 to create only; needs a"
			+ " file with one record (default: the version read)")
	private Long ifVersion;

	ApplyCommand(RecordRules rules) {
		this.rules = rules;
	}

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "check and write the records of a file";
	}

	@Override
	public String example() {
		return "acaciamux apply -f stock-plans.yaml --platform 10.0.0.5:7000";
	}

	@Override
	public CliExitCode run(Console console) {
		return this.platform.open(console)
			.flatMap((api) -> RecordFile.read(this.file, console.in())
				.flatMap(this::checkIfVersion)
				.flatMap((documents) -> new ChangePlanner(this.rules, api).plan(this.file, documents))
				.map((plans) -> write(console, new ConditionalWriter(api), plans)))
			.fold(console::fail, (code) -> code);
	}

	private Either<CliFailure, List<JsonNode>> checkIfVersion(List<JsonNode> documents) {
		if (this.ifVersion != null && (this.ifVersion < 0 || documents.size() != 1)) {
			return Either.left(CliFailure.of(CliExitCode.USAGE,
					"--if-version needs a version of at least 0 and a file with one record; " + this.file + " has "
							+ documents.size()));
		}
		return Either.right(documents);
	}

	private CliExitCode write(Console console, ConditionalWriter writer, List<PlannedChange> plans) {
		for (int i = 0; i < plans.size(); i++) {
			Either<CliFailure, String> result = write(writer, plans.get(i));
			if (result.isLeft()) {
				return console.fail(result.getLeft().plus(notWrittenLines(plans.subList(i + 1, plans.size()))));
			}
			console.print(List.of(result.get()));
		}
		return CliExitCode.OK;
	}

	private Either<CliFailure, String> write(ConditionalWriter writer, PlannedChange plan) {
		long expected = (this.ifVersion != null) ? this.ifVersion : plan.baseVersion();
		if (expected != plan.baseVersion()) {
			StoreFailure failure = new StoreFailure(Kind.CONFLICT, "nothing was written", plan.stored());
			return Either.left(ConflictReport.of(plan, expected, failure, this.file));
		}
		if (plan.changesNothing()) {
			return Either.right(plan.subject() + ": unchanged at version " + expected);
		}
		return writer.put(plan.kind(), plan.name(), expected, plan.document())
			.mapLeft((failure) -> describe(plan, expected, failure))
			.map((object) -> successLine(plan, object));
	}

	private CliFailure describe(PlannedChange plan, long expected, StoreFailure failure) {
		return switch (failure.kind()) {
			case CONFLICT, NOT_FOUND -> ConflictReport.of(plan, expected, failure, this.file);
			case NO_ANSWER -> CliFailure.of(failure, plan.subject())
				.plus(List.of("      see what is stored with: acaciamux diff -f " + this.file));
			default -> CliFailure.of(failure, plan.subject());
		};
	}

	private static String successLine(PlannedChange plan, StoredObject object) {
		String verb = plan.stored().isPresent() ? "updated" : "created";
		String kept = plan.keptPaths().isEmpty() ? ""
				: "; kept fields that this version does not know: " + String.join(", ", plan.keptPaths());
		return plan.subject() + ": " + verb + ", version " + object.version() + kept;
	}

	private static List<String> notWrittenLines(List<PlannedChange> remaining) {
		return remaining.stream()
			.map((plan) -> plan.subject() + ": not written, because an earlier record failed")
			.toList();
	}

}

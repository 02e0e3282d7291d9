package org.acaciamux.internal.cli;

import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

/**
 * Checks the records of a file without calling the platform.
 */
final class ValidateCommand implements Command {

	private final RecordRules rules;

	@Parameter(names = { "-f", "--file" }, required = true,
			description = "file or directory of YAML documents, - for standard input")
	private String file;

	ValidateCommand(RecordRules rules) {
		this.rules = rules;
	}

	@Override
	public String name() {
		return "validate";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "check the records of a file without the platform";
	}

	@Override
	public String example() {
		return "acaciamux validate -f stock-plans.yaml";
	}

	@Override
	public CliExitCode run(Console console) {
		Either<CliFailure, List<JsonNode>> documents = RecordFile.read(this.file, console.in());
		if (documents.isLeft()) {
			return console.fail(documents.getLeft());
		}
		Optional<CliFailure> invalid = ChangePlanner.check(this.rules, this.file, documents.get(), false);
		if (invalid.isPresent()) {
			return console.fail(invalid.get());
		}
		console.print(List.of(this.file + ": " + documents.get().size() + " valid record(s)"));
		return CliExitCode.OK;
	}

}

package org.acaciamux.internal.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * Prints the reference page of a kind, which the build copies from {@code docs/records}.
 */
final class ExplainCommand implements Command {

	private final RecordRules rules;

	@Parameter(description = "KIND")
	private List<String> arguments = new ArrayList<>();

	ExplainCommand(RecordRules rules) {
		this.rules = rules;
	}

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String arguments() {
		return "KIND";
	}

	@Override
	public String summary() {
		return "print the fields of a kind with units, ranges, defaults and an example";
	}

	@Override
	public String example() {
		return "acaciamux explain BackendPool";
	}

	@Override
	public CliExitCode run(Console console) {
		if (this.arguments.size() != 1 || !this.rules.kinds().contains(this.arguments.get(0))) {
			return console.fail(CliFailure.of(CliExitCode.USAGE, "explain needs one kind of "
					+ String.join(", ", this.rules.kinds()) + "; for example: " + example()));
		}
		try (InputStream page = getClass().getResourceAsStream("records/" + this.arguments.get(0) + ".md")) {
			if (page == null) {
				return console.fail(CliFailure.of(CliExitCode.INTERNAL, "this build has no page for the kind"));
			}
			console.print(new String(page.readAllBytes(), StandardCharsets.UTF_8).lines().toList());
			return CliExitCode.OK;
		}
		catch (IOException ex) {
			return console.fail(CliFailure.of(CliExitCode.INTERNAL, "the page cannot be read: " + ex));
		}
	}

}

package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;

/**
 * Prints what {@code apply} would change, without writing anything.
 */
final class DiffCommand implements Command {

	private final RecordRules rules;

	@ParametersDelegate
	private final PlatformOptions platform = new PlatformOptions();

	@Parameter(names = { "-f", "--file" }, required = true,
			description = "file or directory of YAML documents, - for standard input")
	private String file;

	DiffCommand(RecordRules rules) {
		this.rules = rules;
	}

	@Override
	public String name() {
		return "diff";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "show what apply would change; exit code 7 if anything";
	}

	@Override
	public String example() {
		return "acaciamux diff -f stock-plans.yaml --platform 10.0.0.5:7000";
	}

	@Override
	public CliExitCode run(Console console) {
		return this.platform.open(console)
			.flatMap((api) -> RecordFile.read(this.file, console.in())
				.flatMap((documents) -> new ChangePlanner(this.rules, api).plan(this.file, documents)))
			.fold(console::fail, (plans) -> show(console, plans));
	}

	private static CliExitCode show(Console console, List<PlannedChange> plans) {
		List<String> lines = new ArrayList<>();
		for (PlannedChange plan : plans) {
			if (plan.stored().isEmpty()) {
				lines.add(plan.subject() + ": not stored; apply would create it");
			}
			else if (!plan.changes().isEmpty()) {
				lines.add(plan.subject() + ": differs from version " + plan.baseVersion());
				plan.changes().forEach((change) -> lines.add("  " + change.line()));
			}
		}
		console.print(lines);
		return lines.isEmpty() ? CliExitCode.OK : CliExitCode.DIFFERENT;
	}

}

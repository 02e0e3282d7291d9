package org.acaciamux.internal.cli;

import java.util.List;

import org.acaciamux.Acaciamux;

/**
 * Prints the version.
 */
final class VersionCommand implements Command {

	@Override
	public String name() {
		return "version";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "print the version";
	}

	@Override
	public String example() {
		return "acaciamux version";
	}

	@Override
	public CliExitCode run(Console console) {
		console.print(List.of("acaciamux " + Acaciamux.VERSION));
		return CliExitCode.OK;
	}

}

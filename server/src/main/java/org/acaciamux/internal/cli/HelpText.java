package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;

/**
 * Builds the help text of all commands, or of one command with its options and an
 * example. Both end with the exit codes. Not thread-safe.
 */
final class HelpText {

	private final JCommander parser;

	private final Map<String, Command> commands;

	HelpText(JCommander parser, Map<String, Command> commands) {
		this.parser = parser;
		this.commands = commands;
	}

	List<String> all() {
		List<String> lines = new ArrayList<>();
		lines.add("usage: acaciamux COMMAND [OPTIONS]");
		lines.add("");
		lines.add("commands:");
		for (Command command : this.commands.values()) {
			lines.add(String.format("  %-10s %s", command.name(), command.summary()));
			lines.add("             example: " + command.example());
		}
		lines.add("");
		lines.add("options of one command: acaciamux COMMAND --help");
		lines.add("environment: " + PlatformOptions.ADDRESS_VARIABLE
				+ " is the default of --platform; NO_COLOR turns colours off");
		lines.addAll(exitCodes());
		return lines;
	}

	List<String> of(Command command) {
		List<String> lines = new ArrayList<>();
		String arguments = command.arguments().isEmpty() ? "" : " " + command.arguments();
		lines.add("usage: acaciamux " + command.name() + arguments + " [OPTIONS]");
		lines.add(command.summary());
		lines.add("");
		lines.add("options:");
		this.parser.getCommands()
			.get(command.name())
			.getParameters()
			.stream()
			.sorted(Comparator.comparing(ParameterDescription::getLongestName))
			.forEach((option) -> lines.add(String.format("  %-14s %s", option.getNames(), option.getDescription())));
		lines.add("");
		lines.add("example: " + command.example());
		lines.addAll(exitCodes());
		return lines;
	}

	private static List<String> exitCodes() {
		List<String> lines = new ArrayList<>();
		lines.add("");
		lines.add("exit codes:");
		for (CliExitCode code : CliExitCode.values()) {
			lines.add("  " + code.code() + "  " + code.meaning());
		}
		return lines;
	}

}

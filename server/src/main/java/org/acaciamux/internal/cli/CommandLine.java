package org.acaciamux.internal.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

import org.acaciamux.internal.BrokenInvariant;

/**
 * Parses a command line and runs its command. Holds no state between runs; thread-safe.
 */
public final class CommandLine {

	private static final RecordRules RULES = new SchemaRules();

	private static final List<Supplier<Command>> COMMANDS = List.of(() -> new ApplyCommand(RULES), GetCommand::new,
			() -> new DiffCommand(RULES), () -> new DeleteCommand(RULES), StatusCommand::new, BacklogCommand::new,
			DumpCommand::new, () -> new ValidateCommand(RULES), () -> new ExplainCommand(RULES), ExperimentCommand::new,
			VersionCommand::new);

	private CommandLine() {
	}

	/**
	 * Run a command line.
	 * @param console the streams, environment and clock of the run
	 * @param args the arguments
	 * @return the exit code
	 */
	public static CliExitCode run(Console console, String... args) {
		Map<String, Command> commands = new LinkedHashMap<>();
		Options options = new Options();
		JCommander.Builder builder = JCommander.newBuilder().programName("acaciamux").addObject(options);
		for (Supplier<Command> supplier : COMMANDS) {
			Command command = supplier.get();
			commands.put(command.name(), command);
			builder.addCommand(command.name(), new Object[] { command, new HelpOption() });
		}
		JCommander parser = builder.build();
		parser.setExpandAtSign(false);
		return run(console, parser, options, commands, args);
	}

	private static CliExitCode run(Console console, JCommander parser, Options options, Map<String, Command> commands,
			String[] args) {
		HelpText help = new HelpText(parser, commands);
		try {
			parser.parse(args);
		}
		catch (ParameterException ex) {
			return console.fail(CliFailure.of(CliExitCode.USAGE, ex.getMessage(),
					"next: see acaciamux --help, or acaciamux COMMAND --help"));
		}
		String commandName = parser.getParsedCommand();
		if (options.help || (commandName == null && args.length == 0)) {
			console.print(help.all());
			return options.help ? CliExitCode.OK : CliExitCode.USAGE;
		}
		if (commandName == null) {
			return console.fail(CliFailure.of(CliExitCode.USAGE, "no command given; see acaciamux --help"));
		}
		if (isHelpRequested(parser, commandName)) {
			console.print(help.of(commands.get(commandName)));
			return CliExitCode.OK;
		}
		return execute(console, commands.get(commandName));
	}

	private static boolean isHelpRequested(JCommander parser, String command) {
		return parser.getCommands()
			.get(command)
			.getObjects()
			.stream()
			.anyMatch((object) -> object instanceof HelpOption option && option.help);
	}

	private static CliExitCode execute(Console console, Command command) {
		try {
			return command.run(console);
		}
		catch (BrokenInvariant | IllegalStateException | IllegalArgumentException ex) {
			return console.fail(CliFailure.of(CliExitCode.INTERNAL, "internal error: " + ex,
					"next: report this with the command line that was used"));
		}
	}

	/**
	 * Options before the command.
	 */
	private static final class Options {

		@Parameter(names = { "--help", "-h" }, help = true, description = "print this help")
		private boolean help;

	}

	/**
	 * The help option of each command.
	 */
	private static final class HelpOption {

		@Parameter(names = { "--help", "-h" }, help = true, description = "print the help of this command")
		private boolean help;

	}

}

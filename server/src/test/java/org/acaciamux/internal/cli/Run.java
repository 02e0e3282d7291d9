package org.acaciamux.internal.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.agrona.concurrent.EpochClock;

/**
 * One run of the command line with its output.
 *
 * @param code the exit code
 * @param out what went to the standard output
 * @param err what went to the standard error
 */
record Run(CliExitCode code, String out, String err) {

	static Run of(String... args) {
		return with("", "", false, () -> 1_000_000, args);
	}

	static Run on(FakeObjectApi api, String input, String... args) {
		return with(api.address(), input, false, () -> 1_000_000, args);
	}

	static Run with(String platform, String input, boolean terminal, EpochClock clock, String... args) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Console console = new Console(new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(err, true, StandardCharsets.UTF_8),
				new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
				platform.isEmpty() ? Map.of() : Map.of(PlatformOptions.ADDRESS_VARIABLE, platform), terminal, clock,
				() -> false);
		CliExitCode code = CommandLine.run(console, args);
		return new Run(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

}

package org.acaciamux.internal.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.SystemEpochClock;

/**
 * Streams, environment and clock of one run of the command line. Immutable; not
 * thread-safe, because two writers would mix their lines.
 *
 * @param out the standard output, for results
 * @param err the standard error, for failures
 * @param in the standard input, which {@code -f -} reads
 * @param environment the environment variables
 * @param terminal whether {@code out} is a terminal that shows borders and colours
 * @param clock the time in milliseconds since 1970
 * @param keepWatching whether {@code --watch} prints again, asked after each round
 */
public record Console(PrintStream out, PrintStream err, InputStream in, Map<String, String> environment,
		boolean terminal, EpochClock clock, BooleanSupplier keepWatching) {

	/**
	 * Return the console of this process: its standard streams, environment variables and
	 * the system clock.
	 * @return the console, whose {@code --watch} runs until interrupted
	 */
	public static Console system() {
		PrintStream out = new PrintStream(System.out, false, StandardCharsets.UTF_8);
		PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
		Map<String, String> environment = System.getenv();
		boolean terminal = isTerminal(System.console()) && !"dumb".equals(environment.get("TERM"));
		return new Console(out, err, System.in, environment, terminal, SystemEpochClock.INSTANCE, () -> true);
	}

	/**
	 * Return whether the JVM's console is a terminal. Up to Java 21, the JVM has a
	 * console only on a terminal. Later versions always have one and offer a method
	 * {@code isTerminal}, which Java 17 lacks; hence the reflection.
	 * @param console the JVM's console, null if there is none
	 * @return whether output goes to a terminal
	 */
	private static boolean isTerminal(java.io.Console console) {
		if (console == null) {
			return false;
		}
		try {
			return (Boolean) java.io.Console.class.getMethod("isTerminal").invoke(console);
		}
		catch (ReflectiveOperationException ex) {
			return true;
		}
	}

	boolean usesColours() {
		return this.terminal && !this.environment.containsKey("NO_COLOR");
	}

	void print(List<String> lines) {
		lines.forEach(this.out::println);
		this.out.flush();
	}

	void printErrors(List<String> lines) {
		this.out.flush();
		lines.forEach(this.err::println);
		this.err.flush();
	}

	CliExitCode fail(CliFailure failure) {
		printErrors(failure.lines());
		return failure.code();
	}

}

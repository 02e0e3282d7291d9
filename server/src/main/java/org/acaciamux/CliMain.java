package org.acaciamux;

import org.acaciamux.internal.cli.CommandLine;
import org.acaciamux.internal.cli.Console;

/**
 * Entry point of {@code acaciamux}, the command-line tool for operators. Holds no state.
 */
public final class CliMain {

	private CliMain() {
	}

	/**
	 * Run one command and exit with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(CommandLine.run(Console.system(), args).code());
	}

}

package org.acaciamux.internal.cli;

/**
 * One command of the tool. Its fields are filled by the parser before it runs, so an
 * instance serves one run. Not thread-safe.
 */
interface Command {

	String name();

	/**
	 * Return the arguments besides the options.
	 * @return for instance {@code KIND [NAME]}, may be empty
	 */
	String arguments();

	String summary();

	String example();

	CliExitCode run(Console console);

}

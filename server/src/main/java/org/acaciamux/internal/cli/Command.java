package org.acaciamux.internal.cli;

/**
 * One command of the tool. The parser sets the fields of an instance before it runs, so
 * an instance is used for one run only. Not thread-safe.
 */
interface Command {

	String name();

	/**
	 * Return the arguments other than options, as the help text prints them.
	 * @return for instance {@code KIND [NAME]}, may be empty
	 */
	String arguments();

	String summary();

	String example();

	CliExitCode run(Console console);

}

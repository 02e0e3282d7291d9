package org.acaciamux.internal.cli;

/**
 * Exit codes of {@code acaciamux}. Codes are stable: they are never renumbered or reused.
 * Immutable and thread-safe.
 */
public enum CliExitCode {

	/** The command did what was asked. */
	OK(0, "success"),
	/** Unexpected internal error. */
	INTERNAL(1, "internal error"),
	/** Wrong command, option or argument, or a file that cannot be read. */
	USAGE(2, "wrong usage, or a file that cannot be read"),
	/** A record is invalid; nothing was written. */
	INVALID(3, "invalid record; nothing was written"),
	/** The stored record is not at the expected version. */
	CONFLICT(4, "the stored record is not at the expected version"),
	/** The object does not exist. */
	NOT_FOUND(5, "not found"),
	/** The platform or the process did not answer, or refused the call. */
	UNAVAILABLE(6, "platform or process unavailable"),
	/** {@code diff} found differences. */
	DIFFERENT(7, "diff found differences");

	private final int code;

	private final String meaning;

	CliExitCode(int code, String meaning) {
		this.code = code;
		this.meaning = meaning;
	}

	/**
	 * Return the number that the process exits with.
	 * @return the exit status, 0 to 7
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Return the description that the help text prints.
	 * @return the description
	 */
	public String meaning() {
		return this.meaning;
	}

}

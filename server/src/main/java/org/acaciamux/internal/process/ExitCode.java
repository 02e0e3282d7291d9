package org.acaciamux.internal.process;

/**
 * Exit codes of {@code acaciamuxd}. Immutable and thread-safe.
 */
public enum ExitCode {

	/** Stopped after a complete drain. */
	CLEAN(0),
	/** Unexpected internal error, or a drain that did not finish in time. */
	INTERNAL_ERROR(1),
	/** Wrong usage or invalid settings. */
	BAD_SETTINGS(2),
	/** A port is in use. */
	ADDRESS_IN_USE(3),
	/** An internal invariant does not hold. */
	BROKEN_INVARIANT(4),
	/** Ended by a second SIGTERM while draining. */
	SECOND_SIGTERM(5);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Return the code.
	 * @return 0 to 5
	 */
	public int code() {
		return this.code;
	}

	/**
	 * End the process at once with this code, without running shutdown hooks.
	 */
	public void halt() {
		System.out.flush();
		Runtime.getRuntime().halt(this.code);
	}

}

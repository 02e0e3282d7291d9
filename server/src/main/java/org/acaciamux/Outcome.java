package org.acaciamux;

/**
 * What is known about the execution of a call when its final response is sent. Sent to
 * callers in the header {@code Acaciamux-Outcome}. Immutable and thread-safe.
 */
public enum Outcome {

	/**
	 * The backend server ran the call and this is its response.
	 */
	ANSWERED("answered"),

	/**
	 * The call did not run and will not run; used only if that is proven.
	 */
	NOT_RUN("not-run"),

	/**
	 * The call may or may not have run.
	 */
	UNKNOWN("unknown");

	private final String headerValue;

	Outcome(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Return the stable text of this outcome.
	 * @return one of {@code answered}, {@code not-run} and {@code unknown}
	 */
	public String headerValue() {
		return this.headerValue;
	}

}

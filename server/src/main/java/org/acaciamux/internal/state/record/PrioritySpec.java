package org.acaciamux.internal.state.record;

/**
 * The settings of a priority. Immutable and thread-safe.
 *
 * @param name the priority's name
 * @param level 0 (lowest) to 9 (highest)
 * @param agingMs milliseconds of waiting that raise a request by one level, 100 to
 * 3,600,000
 */
public record PrioritySpec(String name, int level, long agingMs) {

	/**
	 * Return a priority with default settings.
	 * @param name the priority's name
	 * @return the settings
	 */
	public static PrioritySpec defaults(String name) {
		return new PrioritySpec(name, 5, 5_000);
	}

}

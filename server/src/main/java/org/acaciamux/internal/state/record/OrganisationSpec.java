package org.acaciamux.internal.state.record;

/**
 * The settings of an organisation. Immutable and thread-safe.
 *
 * @param name the organisation's name
 * @param weight weight in fair queueing relative to other organisations, 1 to 1,000
 * @param maxQueueShare largest share of an agent's queue that the organisation may
 * occupy, above 0.0 and at most 1.0
 */
public record OrganisationSpec(String name, int weight, double maxQueueShare) {

	/**
	 * Return an organisation with default settings.
	 * @param name the organisation's name
	 * @return the settings
	 */
	public static OrganisationSpec defaults(String name) {
		return new OrganisationSpec(name, 1, 0.5);
	}

}

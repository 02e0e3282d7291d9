package org.acaciamux.internal.coordination.admission;

import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PrioritySpec;

/**
 * Work that can wait in a {@link FairQueue}. Implementations do not change these values
 * while the work is queued.
 */
public interface Queued {

	/**
	 * Return the organisation.
	 * @return the settings in force when the work arrived
	 */
	OrganisationSpec organisation();

	/**
	 * Return the priority.
	 * @return the settings in force when the work arrived
	 */
	PrioritySpec priority();

	/**
	 * Return when the work arrived.
	 * @return milliseconds on the agent's monotonic clock
	 */
	long arrivedMs();

	/**
	 * Return the time until which the caller waits.
	 * @return milliseconds on the agent's monotonic clock
	 */
	long deadlineMs();

}

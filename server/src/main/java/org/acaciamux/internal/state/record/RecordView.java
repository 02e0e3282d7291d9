package org.acaciamux.internal.state.record;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The records in force in this process. Implementations are thread-safe and never return
 * an older version of a record after a newer one.
 */
public interface RecordView {

	/**
	 * Find a pool.
	 * @param name the pool's name
	 * @return the settings in force, or empty if there is no such pool
	 */
	Optional<PoolSpec> pool(String name);

	/**
	 * List the pools.
	 * @return the settings in force, in no particular order
	 */
	List<PoolSpec> pools();

	/**
	 * Find an organisation.
	 * @param name the organisation's name
	 * @return the settings in force, or the defaults if it has no record
	 */
	OrganisationSpec organisation(String name);

	/**
	 * Find a priority.
	 * @param name the priority's name
	 * @return the settings in force, or the defaults if it has no record
	 */
	PrioritySpec priority(String name);

	/**
	 * Find the value of any object that is distributed with the configuration, for
	 * instance a {@code ClaimPartition}.
	 * @param kind the kind
	 * @param name the name
	 * @return the value in force, or empty if there is none
	 */
	Optional<JsonNode> value(String kind, String name);

	/**
	 * Return the highest version that this process holds of a record from the object API,
	 * whether or not that version can be read.
	 * @return the revision, 0 before the first record
	 */
	long revision();

}

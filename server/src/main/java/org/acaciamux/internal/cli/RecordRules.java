package org.acaciamux.internal.cli;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

/**
 * Rules that the command line needs for checking and merging records. Implementations are
 * thread-safe.
 */
interface RecordRules {

	/**
	 * List the kinds that operators write.
	 * @return the kinds
	 */
	List<String> kinds();

	/**
	 * Check a record against its schema.
	 * @param document the whole record
	 * @return every fault, unknown fields included
	 */
	List<RecordFault> check(JsonNode document);

	/**
	 * Find the fields of a stored record that a file may leave out without removing them:
	 * fields of a newer version, and fields that a conversion could not place.
	 * @param document the stored record
	 * @return their paths
	 */
	List<String> preservedPaths(JsonNode document);

	/**
	 * Convert a record to another schema version; unknown fields are kept.
	 * @param document the whole record
	 * @param apiVersion the schema version to convert to
	 * @return the converted record, or why it cannot be converted
	 */
	Either<List<RecordFault>, JsonNode> convert(JsonNode document, String apiVersion);

}

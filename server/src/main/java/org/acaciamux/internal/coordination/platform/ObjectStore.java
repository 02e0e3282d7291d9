package org.acaciamux.internal.coordination.platform;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

/**
 * The platform's object API. Calls never throw and complete exactly once, on a thread of
 * the implementation's choice. Implementations are thread-safe.
 */
public interface ObjectStore {

	/**
	 * Read an object.
	 * @param kind the kind
	 * @param name the name
	 * @return the object or the failure
	 */
	CompletionStage<Either<StoreFailure, StoredObject>> get(String kind, String name);

	/**
	 * List the objects of a kind.
	 * @param kind the kind
	 * @return the objects and the store's revision, or the failure
	 */
	CompletionStage<Either<StoreFailure, Listing>> list(String kind);

	/**
	 * Write an object if its version is the expected one.
	 * @param kind the kind
	 * @param name the name
	 * @param ifVersion the expected version, 0 to create
	 * @param value the value
	 * @return the object as written or the failure
	 */
	CompletionStage<Either<StoreFailure, StoredObject>> put(String kind, String name, long ifVersion, JsonNode value);

	/**
	 * Delete an object if its version is the expected one.
	 * @param kind the kind
	 * @param name the name
	 * @param ifVersion the expected version
	 * @return the object as it was or the failure
	 */
	CompletionStage<Either<StoreFailure, StoredObject>> delete(String kind, String name, long ifVersion);

	/**
	 * Wait for changes.
	 * @param kinds the kinds to watch
	 * @param afterRevision the revision after which changes are returned
	 * @param timeoutMs how long to wait in milliseconds, 1 to 60,000
	 * @return the changes, empty after the timeout, or the failure
	 */
	CompletionStage<Either<StoreFailure, Changes>> watch(Set<String> kinds, long afterRevision, long timeoutMs);

	/**
	 * Objects of one kind at a revision.
	 *
	 * @param revision the store's revision
	 * @param items the objects
	 */
	record Listing(long revision, List<StoredObject> items) {

		public Listing {
			items = List.copyOf(items);
		}

	}

	/**
	 * Changes up to a revision, in the order of their versions.
	 *
	 * @param revision the store's revision
	 * @param changes the changes
	 */
	record Changes(long revision, List<Change> changes) {

		public Changes {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * One change.
	 *
	 * @param deleted whether the object was deleted; its version is that of the deletion
	 * @param object the object
	 */
	record Change(boolean deleted, StoredObject object) {
	}

}

package org.acaciamux.internal.coordination.platform;

import java.util.Optional;

/**
 * Failure of a call to the object API. Immutable and thread-safe.
 *
 * @param kind the kind of failure
 * @param detail a description of the failure
 * @param current the newer object in case of a conflict, empty if there is none
 */
public record StoreFailure(Kind kind, String detail, Optional<StoredObject> current) {

	/**
	 * Kinds of failure.
	 */
	public enum Kind {

		/** The object does not exist. */
		NOT_FOUND,
		/**
		 * The object's version is not the expected one; the write did not take effect.
		 */
		CONFLICT,
		/** The platform refused the call; a write did not take effect. */
		UNAVAILABLE,
		/** No answer arrived; a write may have taken effect. */
		NO_ANSWER,
		/** The revision to watch from is too old; list again. */
		COMPACTED,
		/** The call is invalid. */
		INVALID

	}

}

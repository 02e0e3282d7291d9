package org.acaciamux.internal.cli;

/**
 * One thing that is wrong with a record. Immutable and thread-safe.
 *
 * @param path the path of the field, for instance {@code spec.loadBound}
 * @param message what is wrong and what is allowed
 * @param example a line that would be valid
 * @param unknownField whether the only fault is that this version does not know the field
 */
record RecordFault(String path, String message, String example, boolean unknownField) {

	String line(String subject) {
		return subject + ": " + this.path + ": " + this.message + " Example: " + this.example;
	}

}

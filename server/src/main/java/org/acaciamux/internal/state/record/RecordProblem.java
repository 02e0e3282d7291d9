package org.acaciamux.internal.state.record;

/**
 * One problem of a record. Immutable and thread-safe.
 *
 * @param path path of the key, for instance {@code spec.queue.limit}
 * @param message what is wrong and what is allowed
 * @param example a valid line
 */
public record RecordProblem(String path, String message, String example) {

	@Override
	public String toString() {
		return this.path + ": " + this.message + " Example: " + this.example;
	}

}

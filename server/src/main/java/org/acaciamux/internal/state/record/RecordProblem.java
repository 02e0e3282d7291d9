package org.acaciamux.internal.state.record;

/**
 * One thing that is wrong with a record. Immutable and thread-safe.
 *
 * @param path where, for instance {@code spec.queue.limit}
 * @param message what is wrong and what is allowed
 * @param example a line that would be right
 */
public record RecordProblem(String path, String message, String example) {

	@Override
	public String toString() {
		return this.path + ": " + this.message + " Example: " + this.example;
	}

}

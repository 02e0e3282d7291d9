package org.acaciamux.settings;

/**
 * One problem in a settings file. Immutable and thread-safe.
 *
 * @param path path of the key, for instance {@code listen.port}
 * @param message what is wrong and what is allowed
 * @param example a valid line
 */
public record SettingsProblem(String path, String message, String example) {

	@Override
	public String toString() {
		return this.path + ": " + this.message + " (example: " + this.example + ")";
	}

}

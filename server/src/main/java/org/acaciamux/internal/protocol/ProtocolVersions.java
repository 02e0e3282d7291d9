package org.acaciamux.internal.protocol;

import java.util.Optional;

/**
 * The range of protocol versions that a process supports. Immutable and thread-safe.
 *
 * @param min the oldest version, at least 1
 * @param max the newest version
 */
public record ProtocolVersions(int min, int max) {

	/** The versions that this build supports. */
	public static final ProtocolVersions SUPPORTED = new ProtocolVersions(1, 1);

	/**
	 * Choose the version for a connection.
	 * @param other the range of the other process
	 * @return the highest version that both support, or empty if there is none
	 */
	public Optional<Integer> choose(ProtocolVersions other) {
		int version = Math.min(this.max, other.max);
		boolean common = version >= this.min && version >= other.min && version > 0;
		return common ? Optional.of(version) : Optional.empty();
	}

}

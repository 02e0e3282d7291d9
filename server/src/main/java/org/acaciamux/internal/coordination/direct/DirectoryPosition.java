package org.acaciamux.internal.coordination.direct;

import java.util.Comparator;

/**
 * A position in the history of a directory. A directory that returns from an older copy
 * begins a new era, goes back to earlier revisions and gives later ones out again.
 * Invariant: positions are ordered by era first, so a revision is compared with those of
 * its own era only. Immutable and thread-safe.
 *
 * @param era the directory's era, 0 if the directory or the router that told of the
 * position knows none
 * @param revision the revision within the era
 */
public record DirectoryPosition(long era, long revision) implements Comparable<DirectoryPosition> {

	/** Before everything that a directory tells. */
	public static final DirectoryPosition NONE = new DirectoryPosition(0, 0);

	private static final Comparator<DirectoryPosition> ORDER = Comparator.comparingLong(DirectoryPosition::era)
		.thenComparingLong(DirectoryPosition::revision);

	@Override
	public int compareTo(DirectoryPosition other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Return whether this position is later than another one.
	 * @param other the other position
	 * @return whether it is later
	 */
	public boolean isAfter(DirectoryPosition other) {
		return compareTo(other) > 0;
	}

	/**
	 * Return a position of the same era.
	 * @param other its revision
	 * @return the position
	 */
	public DirectoryPosition at(long other) {
		return new DirectoryPosition(this.era, other);
	}

	@Override
	public String toString() {
		return this.era + ":" + this.revision;
	}

}

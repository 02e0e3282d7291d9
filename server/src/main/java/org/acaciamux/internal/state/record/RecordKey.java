package org.acaciamux.internal.state.record;

/**
 * Identity of a record. Immutable and thread-safe.
 *
 * @param kind the kind, for instance {@code BackendPool}
 * @param name the name, unique in its kind
 */
public record RecordKey(String kind, String name) implements Comparable<RecordKey> {

	@Override
	public int compareTo(RecordKey other) {
		int byKind = this.kind.compareTo(other.kind);
		return (byKind != 0) ? byKind : this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.kind + "/" + this.name;
	}

}

package org.acaciamux.internal.state.record;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;

import org.acaciamux.internal.state.StableHash;

/**
 * One version of a record as processes hold it and send it to each other, readable or
 * not. Immutable and thread-safe as long as no code changes the nodes of the value, which
 * none may do.
 *
 * @param key the identity
 * @param version the version
 * @param deleted whether the record was deleted at this version (a tombstone)
 * @param value the raw value, a null node for a tombstone
 */
public record HeldRecord(RecordKey key, long version, boolean deleted, JsonNode value) {

	public HeldRecord {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Return a version with a value.
	 * @param kind the kind
	 * @param name the name
	 * @param version the version
	 * @param value the raw value
	 * @return the record
	 */
	public static HeldRecord of(String kind, String name, long version, JsonNode value) {
		return new HeldRecord(new RecordKey(kind, name), version, false, value);
	}

	/**
	 * Return a tombstone.
	 * @param key the identity
	 * @param version the version of the deletion
	 * @return the tombstone
	 */
	public static HeldRecord tombstone(RecordKey key, long version) {
		return new HeldRecord(key, version, true, NullNode.getInstance());
	}

	/**
	 * Return whether the record comes from the object API. The VM list does not: its
	 * versions come from a counter of its own.
	 * @return whether the version is comparable with a revision of the object API
	 */
	public boolean isFromObjectApi() {
		return !RecordKinds.VM_LIST.equals(this.key.kind());
	}

	/**
	 * Return this record's contribution to the digest of a table: 0 for a tombstone, so
	 * that tables agree although their tombstones expire at different times, and 0 for
	 * the VM list, because two watchers may have read the same content at different
	 * revisions.
	 * @return the contribution; contributions are added up
	 */
	long digest() {
		if (this.deleted || !isFromObjectApi()) {
			return 0;
		}
		return StableHash
			.mix(StableHash.mix(StableHash.of(this.key.kind()) + StableHash.of(this.key.name()) * 31) ^ this.version);
	}

}

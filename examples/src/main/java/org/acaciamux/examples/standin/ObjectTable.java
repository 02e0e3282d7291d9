package org.acaciamux.examples.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The objects of the platform stand-in and up to 10,000 of their latest changes. Each
 * change takes the next revision of the whole table as the version of its object. Not
 * thread-safe.
 */
final class ObjectTable {

	private static final int MAX_CHANGES = 10_000;

	private final TreeMap<String, ObjectNode> objects = new TreeMap<>();

	private final Deque<ObjectNode> changes = new ArrayDeque<>();

	private long revision;

	private long oldestRevision;

	long revision() {
		return this.revision;
	}

	/**
	 * Return the lowest revision from which a watch can start, because all later changes
	 * are still kept.
	 * @return the revision
	 */
	long oldestRevision() {
		return this.oldestRevision;
	}

	Optional<ObjectNode> find(String kind, String name) {
		return Optional.ofNullable(this.objects.get(key(kind, name)));
	}

	List<ObjectNode> list(String kind) {
		String from = key(kind, "");
		return List.copyOf(this.objects.subMap(from, from + Character.MAX_VALUE).values());
	}

	ObjectNode put(String kind, String name, JsonNode value) {
		ObjectNode object = newVersion(kind, name);
		object.set("value", value);
		this.objects.put(key(kind, name), object);
		return addChange("PUT", object);
	}

	ObjectNode delete(String kind, String name) {
		ObjectNode object = newVersion(kind, name);
		object.putNull("value");
		this.objects.remove(key(kind, name));
		return addChange("DELETE", object);
	}

	boolean changedAfter(long after, Set<String> kinds) {
		return !changes(after, kinds).isEmpty();
	}

	List<ObjectNode> changes(long after, Set<String> kinds) {
		return this.changes.stream()
			.filter((change) -> change.path("object").path("version").asLong() > after)
			.filter((change) -> kinds.contains(change.path("object").path("kind").asText()))
			.toList();
	}

	/**
	 * Discard all kept changes, so that watches from an older revision are refused.
	 */
	void forgetChanges() {
		this.changes.clear();
		this.oldestRevision = this.revision;
	}

	private ObjectNode newVersion(String kind, String name) {
		this.revision++;
		return Exchange.newObject().put("kind", kind).put("name", name).put("version", this.revision);
	}

	private ObjectNode addChange(String type, ObjectNode object) {
		this.changes.add(Exchange.newObject().put("type", type).set("object", object));
		if (this.changes.size() > MAX_CHANGES) {
			this.oldestRevision = this.changes.remove().path("object").path("version").asLong();
		}
		return object;
	}

	private static String key(String kind, String name) {
		return kind + "/" + name;
	}

}

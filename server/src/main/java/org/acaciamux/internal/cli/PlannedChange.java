package org.acaciamux.internal.cli;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Change that applying one document makes to the stored record. Immutable by convention:
 * the nodes are not changed.
 *
 * @param document the document to write, with the fields kept from the stored record
 * @param stored the record as read, empty if there is none
 * @param changes how the document differs from the stored record, both in the document's
 * schema version
 * @param keptPaths paths of the fields copied from the stored record because this version
 * does not know them and the file leaves them out
 */
record PlannedChange(JsonNode document, Optional<StoredObject> stored, List<FieldChange> changes,
		List<String> keptPaths) {

	String subject() {
		return RecordFile.subject(this.document);
	}

	String kind() {
		return this.document.path("kind").asText();
	}

	String name() {
		return this.document.path("name").asText();
	}

	long baseVersion() {
		return this.stored.map(StoredObject::version).orElse(0L);
	}

	boolean changesNothing() {
		return this.stored.isPresent() && this.changes.isEmpty();
	}

}

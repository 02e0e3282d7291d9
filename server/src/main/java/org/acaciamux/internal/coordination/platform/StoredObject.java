package org.acaciamux.internal.coordination.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the platform's object API. Immutable by convention: callers do not change
 * the value's nodes. Thread-safe under that convention.
 *
 * @param kind the kind
 * @param name the name, unique in its kind
 * @param version the version of the last write; increases across the whole store, so it
 * also serves as a fencing token
 * @param value the value, at most one megabyte as JSON
 */
public record StoredObject(String kind, String name, long version, JsonNode value) {
}

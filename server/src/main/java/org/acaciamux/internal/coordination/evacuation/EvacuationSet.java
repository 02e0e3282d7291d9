package org.acaciamux.internal.coordination.evacuation;

import java.util.Map;
import java.util.Set;

import org.acaciamux.internal.coordination.direct.DirectoryPosition;

/**
 * The evacuated failure domains as of a position in the directory's history. Immutable
 * and thread-safe.
 *
 * @param position up to which all changes are contained
 * @param domains names of the evacuated domains
 * @param heldMs domains that the directory's former era listed, with the milliseconds for
 * which they stay evacuated
 */
public record EvacuationSet(DirectoryPosition position, Set<String> domains, Map<String, Long> heldMs) {

	/**
	 * Copy the set.
	 */
	public EvacuationSet {
		domains = Set.copyOf(domains);
		heldMs = Map.copyOf(heldMs);
	}

	/**
	 * Create a set that the directory tells.
	 * @param position up to which all changes are contained
	 * @param domains names of the evacuated domains
	 */
	public EvacuationSet(DirectoryPosition position, Set<String> domains) {
		this(position, domains, Map.of());
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.Map;
import java.util.OptionalLong;

/**
 * Crashes of servers that were running requests with one prompt part, as routers tell
 * each other. Immutable and thread-safe.
 *
 * @param crashes the crashes by the server's lifetime
 * @param refusedAgeMs milliseconds since a request was last refused because of the part,
 * empty if none was
 */
public record PartCrashes(Map<String, Crash> crashes, OptionalLong refusedAgeMs) {

	/**
	 * One crash. Immutable and thread-safe.
	 *
	 * @param service the server's service
	 * @param ageMs milliseconds since the crash
	 * @param repeated whether the part was suspect when its run began
	 * @param cleared whether a run that began later was proved
	 */
	public record Crash(String service, long ageMs, boolean repeated, boolean cleared) {
	}

}

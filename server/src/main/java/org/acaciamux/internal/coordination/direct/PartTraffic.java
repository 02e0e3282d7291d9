package org.acaciamux.internal.coordination.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Prompt parts of the last runs of each service. A part that nearly all of them have is
 * running at every server, so it is at each crash, whatever the cause is. Invariant: at
 * most {@link #RUNS} runs of a service are kept. Confined to the event loop.
 */
final class PartTraffic {

	/** Number of runs that are kept of a service. */
	static final int RUNS = 128;

	/** Number of runs below which the share of a part is not known. */
	private static final int MIN_RUNS = RUNS / 2;

	/** Share of the runs from which on a part is at the crash of any server. */
	private static final double COMMON_SHARE = 0.9;

	private final Map<String, Deque<Set<String>>> runs = new HashMap<>();

	/**
	 * Record that a request is being sent to a server.
	 * @param service the service of the server
	 * @param parts the parts of its prompt, at least one
	 */
	void started(String service, Set<String> parts) {
		Deque<Set<String>> last = this.runs.computeIfAbsent(service, (key) -> new ArrayDeque<>());
		last.add(parts);
		if (last.size() > RUNS) {
			last.remove();
		}
	}

	/**
	 * Return whether nearly all requests for a service have a part.
	 * @param service the service
	 * @param part the part
	 * @return whether they have; not if too few of them are known
	 */
	boolean common(String service, String part) {
		Deque<Set<String>> last = this.runs.getOrDefault(service, new ArrayDeque<>());
		long with = last.stream().filter((parts) -> parts.contains(part)).count();
		return last.size() >= MIN_RUNS && with >= COMMON_SHARE * last.size();
	}

}

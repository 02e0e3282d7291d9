package org.acaciamux.internal.coordination.direct;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which routers watch the directory for changes of backend servers. Answers the
 * load of a release, a restart or a scaling of many servers: each change ends the watch
 * of every watcher, so if all routers watched, the calls would grow with the product of
 * routers and servers. The others follow: they fetch changes from routers that have them.
 * Each router decides by the routers that it hears; if two disagree for a moment, too
 * many watch, or a change arrives through another failure domain. Holds no state.
 */
public final class WatchPolicy {

	/** Smallest number of watchers in a fleet that has as many routers. */
	public static final int MIN_WATCHERS = 6;

	private WatchPolicy() {
	}

	/**
	 * Decide whether a router watches: the live routers with the lowest addresses of each
	 * failure domain do. Those that the directory does not answer are passed over, unless
	 * it answers none.
	 * @param self the router
	 * @param others the other live routers
	 * @return whether it watches
	 */
	public static boolean watches(Router self, Collection<Router> others) {
		Set<String> domains = others.stream().map(Router::domain).collect(Collectors.toSet());
		domains.add(self.domain());
		int perDomain = (MIN_WATCHERS + domains.size() - 1) / domains.size();
		List<Router> neighbours = others.stream().filter((other) -> other.domain().equals(self.domain())).toList();
		boolean anyAnswered = self.answered() || neighbours.stream().anyMatch(Router::answered);
		if (anyAnswered && !self.answered()) {
			return false;
		}
		long before = neighbours.stream()
			.filter((other) -> other.answered() || !anyAnswered)
			.filter((other) -> other.address().compareTo(self.address()) < 0)
			.count();
		return before < perDomain;
	}

	/**
	 * A live router.
	 *
	 * @param address its address
	 * @param domain its failure domain, empty if it did not tell
	 * @param answered whether the directory answers it
	 */
	public record Router(String address, String domain, boolean answered) {
	}

}

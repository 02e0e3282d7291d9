package org.acaciamux.internal.coordination.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * The routes of the most recent requests. Invariant: at most the given number is kept.
 * Thread-safe.
 */
final class RecentRoutes {

	private final RankedLock lock = new RankedLock(LockRank.LEAF);

	private final Deque<RouteTrace> traces = new ArrayDeque<>();

	private final int limit;

	RecentRoutes(int limit) {
		this.limit = limit;
	}

	void add(RouteTrace trace) {
		this.lock.run(() -> {
			if (this.traces.size() == this.limit) {
				this.traces.removeFirst();
			}
			this.traces.addLast(trace);
		});
	}

	/**
	 * List the routes.
	 * @return the routes, the newest last
	 */
	List<RouteTrace> list() {
		return this.lock.get(() -> List.copyOf(this.traces));
	}

}

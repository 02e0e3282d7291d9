package org.acaciamux.internal.coordination.direct;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Routers that use every retry that their budgets allow, with the messages and the
 * directory by which they know of each other. Invariant: the directory keeps the entry of
 * a router that was killed. Not thread-safe.
 */
final class LimitedFleet {

	static final double RATIO = 0.2;

	static final String SERVICE = "s";

	private static final int LIST_INTERVAL_MS = 15_000;

	private final ManualClock clock = new ManualClock();

	private final Map<String, Router> running = new HashMap<>();

	private final TreeSet<String> directory = new TreeSet<>();

	private final Deque<Interval> window = new ArrayDeque<>();

	private final double allowance;

	private final int requestsPerInterval;

	private boolean retrying = true;

	private boolean directoryOnAllSides;

	/**
	 * Create an empty fleet.
	 * @param allowance retries of the fleet beyond the ratio in one window
	 * @param requestsPerInterval requests at each router between two messages
	 */
	LimitedFleet(double allowance, int requestsPerInterval) {
		this.allowance = allowance;
		this.requestsPerInterval = requestsPerInterval;
	}

	static List<String> names(int from, int to) {
		List<String> names = new ArrayList<>();
		for (int i = from; i < to; i++) {
			names.add("r" + i);
		}
		return names;
	}

	void start(List<String> names) {
		names.forEach((name) -> this.running.put(name, new Router(name)));
	}

	void kill(List<String> names) {
		names.forEach(this.running::remove);
	}

	void leave(List<String> names) {
		names.forEach((name) -> {
			Router router = this.running.remove(name);
			this.running.values()
				.stream()
				.filter((other) -> other.side == router.side)
				.forEach((other) -> other.fleet.heard(name, true));
			this.directory.remove(name);
		});
	}

	/**
	 * Put routers on another side of a partition. The directory is on side 0, unless
	 * {@link #directoryOnAllSides} says otherwise.
	 * @param names the routers
	 * @param side the side
	 */
	void move(List<String> names, int side) {
		names.forEach((name) -> Optional.ofNullable(this.running.get(name)).ifPresent((router) -> router.side = side));
	}

	/**
	 * Set whether a partition separates routers only from each other.
	 * @param everywhere whether the directory answers the routers on each side
	 */
	void directoryOnAllSides(boolean everywhere) {
		this.directoryOnAllSides = everywhere;
	}

	/**
	 * Set whether the routers retry.
	 * @param retrying whether they use all retries that they have, or none
	 */
	void retry(boolean retrying) {
		this.retrying = retrying;
	}

	/**
	 * Let time pass and compare each window with the limit.
	 * @param ms the time in milliseconds
	 * @return the retries
	 */
	int run(long ms) {
		int sum = 0;
		for (long at = 0; at < ms; at += ExchangePolicy.PACE_MS) {
			this.clock.advance(ExchangePolicy.PACE_MS);
			this.running.values().forEach(this::exchange);
			sum += serve();
		}
		return sum;
	}

	private void exchange(Router router) {
		boolean answers = router.side == 0 || this.directoryOnAllSides;
		if (answers && this.clock.nanoTime() >= router.listAt) {
			if (this.directory.add(router.name) && !router.registered) {
				router.budgets.joined();
			}
			router.registered = true;
			router.fleet.listed(this.directory);
			router.listAt = this.clock.nanoTime() + LIST_INTERVAL_MS * 1_000_000L;
		}
		this.running.values()
			.stream()
			.filter((other) -> other.side == router.side)
			.forEach((other) -> other.fleet.heard(router.name, false));
		router.fleet.update(answers);
		router.budgets.routers(router.fleet.divisor());
	}

	private int serve() {
		int retries = 0;
		for (Router router : this.running.values()) {
			for (int i = 0; i < this.requestsPerInterval; i++) {
				router.budgets.recordRequest(SERVICE);
			}
			while (this.retrying && router.budgets.tryRetry(SERVICE)) {
				retries++;
			}
		}
		this.window.add(new Interval(this.running.size() * this.requestsPerInterval, retries));
		if (this.window.size() > RetryBudgets.WINDOW_MS / ExchangePolicy.PACE_MS) {
			this.window.remove();
		}
		int requests = this.window.stream().mapToInt(Interval::requests).sum();
		int used = this.window.stream().mapToInt(Interval::retries).sum();
		if (used > RATIO * requests + this.allowance) {
			throw new AssertionError(used + " retries in a window, allowed " + (RATIO * requests + this.allowance)
					+ " for " + requests + " requests; running " + this.running.keySet());
		}
		return retries;
	}

	/**
	 * Return the connections to a server that the routers may open together.
	 * @param limit the connections that the server accepts
	 * @return the sum of their shares
	 */
	int connections(int limit) {
		return this.running.values().stream().mapToInt((router) -> router.fleet.connections(limit, 2)).sum();
	}

	private record Interval(int requests, int retries) {
	}

	private final class Router {

		private final String name;

		private final FleetSize fleet;

		private final RetryBudgets budgets;

		private int side;

		private boolean registered;

		private long listAt;

		Router(String name) {
			this.name = name;
			this.fleet = new FleetSize(LimitedFleet.this.clock, name);
			this.budgets = new RetryBudgets(RATIO, LimitedFleet.this.allowance, LimitedFleet.this.clock);
		}

	}

}

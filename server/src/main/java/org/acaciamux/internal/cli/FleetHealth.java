package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Whether the fleet is healthy, with the reasons if it is not. Immutable and thread-safe.
 *
 * @param reasons the faults found, empty if the fleet is healthy
 * @param notes states that are no faults, but that operators should know
 */
record FleetHealth(List<String> reasons, List<String> notes) {

	/** Age above which a status is stale: it may no longer describe the present state. */
	static final long STALE_AFTER_MS = 10_000;

	/** Age from which a waiting request is a fault even if the backlog does not grow. */
	static final long LONG_WAIT_MS = 10_000;

	/** Highest control traffic that one process may cause. */
	static final long MAX_CONTROL_BYTES_PER_SECOND = 8_192;

	FleetHealth {
		reasons = List.copyOf(reasons);
		notes = List.copyOf(notes);
	}

	boolean healthy() {
		return this.reasons.isEmpty();
	}

	static FleetHealth assess(FleetSample sample, List<String> declaredPools, long nowMs) {
		List<String> reasons = new ArrayList<>();
		List<String> notes = new ArrayList<>();
		FleetView view = sample.last();
		if (view.domains().isEmpty()) {
			reasons.add("no failure domain has written a status: no process runs, or none reaches the platform");
		}
		view.domains().forEach((domain) -> checkDomain(domain, nowMs, reasons));
		checkRevision(sample, reasons);
		checkPools(view, declaredPools, reasons, notes);
		checkBacklog(sample, reasons);
		return new FleetHealth(reasons, notes);
	}

	static boolean isStale(FleetView.Domain domain, long nowMs) {
		return nowMs - domain.updatedAtMs() > STALE_AFTER_MS;
	}

	private static void checkDomain(FleetView.Domain domain, long nowMs, List<String> reasons) {
		if (domain.updatedAtMs() == 0) {
			reasons.add("failure domain " + domain.name() + ": status has no updatedAtMs, so its age is unknown");
		}
		else if (isStale(domain, nowMs)) {
			reasons.add("failure domain " + domain.name() + ": status is stale, written "
					+ Durations.format(nowMs - domain.updatedAtMs())
					+ " ago; its figures below may be wrong, ask its processes with: acaciamux dump --admin HOST:PORT");
		}
		if (domain.controlBytesPerSecond() > MAX_CONTROL_BYTES_PER_SECOND) {
			reasons.add("failure domain " + domain.name() + ": control traffic is " + domain.controlBytesPerSecond()
					+ " bytes a second per node, over " + MAX_CONTROL_BYTES_PER_SECOND);
		}
	}

	private static void checkRevision(FleetSample sample, List<String> reasons) {
		if (!sample.hasLaggingRevision()) {
			return;
		}
		long wanted = sample.first().highestRevision();
		for (FleetView.Domain domain : sample.last().domains()) {
			if (domain.lowestRevision() < wanted) {
				String laggard = domain.laggard().isEmpty() ? "" : ", laggard " + domain.laggard();
				reasons.add("failure domain " + domain.name() + ": configuration revision " + wanted
						+ " is not in force everywhere after " + Durations.format(FleetSample.SETTLE_MS)
						+ "; lowest is " + domain.lowestRevision() + laggard);
			}
		}
	}

	private static void checkPools(FleetView view, List<String> declaredPools, List<String> reasons,
			List<String> notes) {
		List<FleetView.Pool> pools = view.pools();
		for (FleetView.Pool pool : pools) {
			if (pool.members() == 0) {
				reasons.add("pool " + pool.name() + ": no live backend server");
			}
			if (!pool.leaving().isEmpty()) {
				notes.add("pool " + pool.name() + ": leaving: " + String.join(", ", pool.leaving()));
			}
		}
		List<String> reported = pools.stream().map(FleetView.Pool::name).toList();
		declaredPools.stream()
			.filter((pool) -> !reported.contains(pool))
			.forEach((pool) -> reasons.add("pool " + pool + ": has a record, but no process reports on it"));
	}

	private static void checkBacklog(FleetSample sample, List<String> reasons) {
		Map<String, Long> changes = sample.backlogChange();
		for (FleetView.BacklogEntry entry : sample.last().backlog()) {
			long change = changes.getOrDefault(entry.key(), 0L);
			String where = "backlog of pool " + entry.pool() + ", organisation " + entry.organisation() + ", priority "
					+ entry.priority() + ": ";
			String oldest = "the oldest has waited " + Durations.format(entry.oldestMs());
			if (change > 0) {
				reasons.add(where + "grows, " + entry.count() + " waiting (+" + change + "), " + oldest);
			}
			else if (entry.oldestMs() >= LONG_WAIT_MS) {
				reasons.add(where + entry.count() + " waiting, " + oldest);
			}
		}
	}

}

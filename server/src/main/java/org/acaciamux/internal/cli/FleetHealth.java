package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Judges whether the fleet is healthy. Immutable and thread-safe.
 *
 * @param reasons why it is not healthy, empty if it is
 * @param notes what operators should know besides
 */
record FleetHealth(List<String> reasons, List<String> notes) {

	/** Age from which a status no longer tells what goes on. */
	static final long STALE_MS = 10_000;

	/** Age of a waiting request that is reported even if the backlog does not grow. */
	static final long LONG_WAIT_MS = 10_000;

	/** Control traffic that one process may cause, in bytes per second. */
	static final long CONTROL_BYTES_LIMIT = 8_192;

	FleetHealth {
		reasons = List.copyOf(reasons);
		notes = List.copyOf(notes);
	}

	boolean healthy() {
		return this.reasons.isEmpty();
	}

	static FleetHealth judge(FleetSample sample, List<String> declaredPools, long nowMs) {
		List<String> reasons = new ArrayList<>();
		List<String> notes = new ArrayList<>();
		FleetView view = sample.last();
		if (view.domains().isEmpty()) {
			reasons.add("no failure domain has written a status: no process runs, or none reaches the platform");
		}
		view.domains().forEach((domain) -> judge(domain, nowMs, reasons));
		judgeRevision(sample, reasons);
		judgePools(view, declaredPools, reasons, notes);
		judgeBacklog(sample, reasons);
		return new FleetHealth(reasons, notes);
	}

	static boolean isStale(FleetView.Domain domain, long nowMs) {
		return nowMs - domain.updatedAtMs() > STALE_MS;
	}

	private static void judge(FleetView.Domain domain, long nowMs, List<String> reasons) {
		if (domain.updatedAtMs() == 0) {
			reasons.add("failure domain " + domain.name() + ": status has no updatedAtMs, so its age is unknown");
		}
		else if (isStale(domain, nowMs)) {
			reasons.add("failure domain " + domain.name() + ": status is stale, written "
					+ Durations.text(nowMs - domain.updatedAtMs())
					+ " ago; its figures below may be wrong, ask its processes with: acaciamux dump --admin HOST:PORT");
		}
		if (domain.controlBytes() > CONTROL_BYTES_LIMIT) {
			reasons.add("failure domain " + domain.name() + ": control traffic is " + domain.controlBytes()
					+ " bytes a second per node, over " + CONTROL_BYTES_LIMIT);
		}
	}

	private static void judgeRevision(FleetSample sample, List<String> reasons) {
		if (!sample.lags()) {
			return;
		}
		long wanted = sample.first().highestRevision();
		for (FleetView.Domain domain : sample.last().domains()) {
			if (domain.lowest() < wanted) {
				String laggard = domain.laggard().isEmpty() ? "" : ", laggard " + domain.laggard();
				reasons.add("failure domain " + domain.name() + ": configuration revision " + wanted
						+ " is not in force everywhere after " + Durations.text(FleetSample.SETTLE_MS) + "; lowest is "
						+ domain.lowest() + laggard);
			}
		}
	}

	private static void judgePools(FleetView view, List<String> declaredPools, List<String> reasons,
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

	private static void judgeBacklog(FleetSample sample, List<String> reasons) {
		Map<String, Long> changes = sample.backlogChange();
		for (FleetView.Backlog entry : sample.last().backlog()) {
			long change = changes.getOrDefault(entry.key(), 0L);
			String where = "backlog of pool " + entry.pool() + ", organisation " + entry.organisation() + ", priority "
					+ entry.priority() + ": ";
			String oldest = "the oldest has waited " + Durations.text(entry.oldestMs());
			if (change > 0) {
				reasons.add(where + "grows, " + entry.count() + " waiting (+" + change + "), " + oldest);
			}
			else if (entry.oldestMs() >= LONG_WAIT_MS) {
				reasons.add(where + entry.count() + " waiting, " + oldest);
			}
		}
	}

}

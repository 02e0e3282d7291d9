package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciamux.internal.protocol.wire.BacklogEntry;
import org.acaciamux.internal.protocol.wire.FleetReport;
import org.acaciamux.internal.protocol.wire.PoolReport;
import org.acaciamux.internal.protocol.wire.RefusalCount;

/**
 * Adds up the reports of processes about their work. Lists that could grow with the fleet
 * are bounded, because every process sends a report every 2 s: at most 64 backlog
 * entries, the oldest ones, and 16 leaving members per pool. Thread-safe; holds no state.
 */
final class WorkReports {

	private static final int MAX_BACKLOG_ENTRIES = 64;

	private static final int MAX_LEAVING_PER_POOL = 16;

	private WorkReports() {
	}

	/**
	 * Add a report to a sum.
	 * @param sum the sum, which is changed
	 * @param report the report to add
	 */
	static void add(FleetReport.Builder sum, FleetReport report) {
		sum.setControlBytesPerSecond(sum.getControlBytesPerSecond() + report.getControlBytesPerSecond());
		List<PoolReport> pools = mergePools(sum.getPoolsList(), report.getPoolsList());
		List<BacklogEntry> backlog = mergeBacklog(sum.getBacklogList(), report.getBacklogList());
		sum.clearPools().addAllPools(pools).clearBacklog().addAllBacklog(backlog);
	}

	private static List<PoolReport> mergePools(List<PoolReport> first, List<PoolReport> second) {
		Map<String, PoolReport> pools = new TreeMap<>();
		first.forEach((pool) -> pools.merge(pool.getPool(), pool, WorkReports::merge));
		second.forEach((pool) -> pools.merge(pool.getPool(), pool, WorkReports::merge));
		return List.copyOf(pools.values());
	}

	private static PoolReport merge(PoolReport first, PoolReport second) {
		Set<String> leaving = new LinkedHashSet<>(first.getLeavingList());
		leaving.addAll(second.getLeavingList());
		return PoolReport.newBuilder()
			.setPool(first.getPool())
			.setMembers(first.getMembers() + second.getMembers())
			.setLoad(first.getLoad() + second.getLoad())
			.setBusiest(Math.max(first.getBusiest(), second.getBusiest()))
			.setQueued(first.getQueued() + second.getQueued())
			.addAllLeaving(leaving.stream().limit(MAX_LEAVING_PER_POOL).toList())
			.setReturning(first.getReturning() + second.getReturning())
			.setReused(first.getReused() + second.getReused())
			.addAllRefusals(mergeRefusals(first.getRefusalsList(), second.getRefusalsList()))
			.build();
	}

	private static List<RefusalCount> mergeRefusals(List<RefusalCount> first, List<RefusalCount> second) {
		Map<String, Long> counts = new TreeMap<>();
		first.forEach((refusal) -> counts.merge(refusal.getCode(), refusal.getCount(), Long::sum));
		second.forEach((refusal) -> counts.merge(refusal.getCode(), refusal.getCount(), Long::sum));
		List<RefusalCount> sum = new ArrayList<>();
		counts.forEach((code, count) -> sum.add(RefusalCount.newBuilder().setCode(code).setCount(count).build()));
		return sum;
	}

	private static List<BacklogEntry> mergeBacklog(List<BacklogEntry> first, List<BacklogEntry> second) {
		Map<List<String>, BacklogEntry> entries = new TreeMap<>(Comparator.comparing(List::toString));
		first.forEach((entry) -> entries.merge(key(entry), entry, WorkReports::merge));
		second.forEach((entry) -> entries.merge(key(entry), entry, WorkReports::merge));
		return entries.values()
			.stream()
			.sorted(Comparator.comparingLong(BacklogEntry::getOldestMs).reversed())
			.limit(MAX_BACKLOG_ENTRIES)
			.toList();
	}

	private static List<String> key(BacklogEntry entry) {
		return List.of(entry.getPool(), entry.getOrganisation(), entry.getPriority());
	}

	private static BacklogEntry merge(BacklogEntry first, BacklogEntry second) {
		return first.toBuilder()
			.setCount(first.getCount() + second.getCount())
			.setOldestMs(Math.max(first.getOldestMs(), second.getOldestMs()))
			.build();
	}

}

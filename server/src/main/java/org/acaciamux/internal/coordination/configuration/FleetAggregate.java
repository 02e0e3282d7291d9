package org.acaciamux.internal.coordination.configuration;

import java.util.HashMap;
import java.util.Map;

import org.acaciamux.internal.protocol.wire.FleetReport;

/**
 * Adds up the reports of a subtree. A report counts for a limited time, so a child that
 * moved to another parent may be counted twice for that time; the lowest revision is then
 * still right. Guarded by the serial tasks of {@link ConfigurationSync}.
 */
final class FleetAggregate {

	private final long keepMs;

	private final Map<String, Received> reports = new HashMap<>();

	FleetAggregate(long keepMs) {
		this.keepMs = keepMs;
	}

	void report(String child, FleetReport report, long nowMs) {
		this.reports.put(child, new Received(report, nowMs));
	}

	/**
	 * Add up this process and its children.
	 * @param own this process
	 * @param nowMs the time in milliseconds
	 * @return the sum
	 */
	FleetReport sum(FleetReport own, long nowMs) {
		this.reports.values().removeIf((received) -> nowMs - received.atMs > this.keepMs);
		FleetReport.Builder sum = own.toBuilder();
		for (Received received : this.reports.values()) {
			add(sum, received.report);
		}
		return sum.build();
	}

	private static void add(FleetReport.Builder sum, FleetReport report) {
		WorkReports.add(sum, report);
		sum.setProcesses(sum.getProcesses() + report.getProcesses());
		sum.setHighestRevision(Math.max(sum.getHighestRevision(), report.getHighestRevision()));
		if (report.getLowestRevision() < sum.getLowestRevision()) {
			sum.setLowestRevision(report.getLowestRevision());
			sum.setLaggard(report.getLaggard());
		}
	}

	private record Received(FleetReport report, long atMs) {
	}

}

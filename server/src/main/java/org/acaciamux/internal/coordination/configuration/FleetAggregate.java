package org.acaciamux.internal.coordination.configuration;

import java.util.HashMap;
import java.util.Map;

import org.acaciamux.internal.protocol.wire.FleetReport;

/**
 * Aggregates the reports of a subtree. A report counts until the child withdraws it or it
 * expires. A child that moved to another parent while the earlier one could not be
 * reached may be counted twice until its report to the earlier parent expires. Guarded by
 * the serial tasks of {@link ConfigurationSync}.
 */
final class FleetAggregate {

	private final long reportExpiryMs;

	private final Map<String, Received> reports = new HashMap<>();

	FleetAggregate(long reportExpiryMs) {
		this.reportExpiryMs = reportExpiryMs;
	}

	/**
	 * Store the report of a child. A report with 0 processes withdraws the earlier one.
	 * @param child the id of the child's VM
	 * @param report the report
	 * @param nowMs the time in milliseconds
	 */
	void store(String child, FleetReport report, long nowMs) {
		if (report.getProcesses() == 0) {
			this.reports.remove(child);
			return;
		}
		this.reports.put(child, new Received(report, nowMs));
	}

	/**
	 * Aggregate the reports of this process and its children: counts are added, and the
	 * lowest and highest revisions are kept.
	 * @param own the report of this process
	 * @param nowMs the time in milliseconds
	 * @return the aggregated report
	 */
	FleetReport sum(FleetReport own, long nowMs) {
		this.reports.values().removeIf((received) -> nowMs - received.atMs > this.reportExpiryMs);
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

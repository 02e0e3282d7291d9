package org.acaciamux.internal.coordination.configuration;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.protocol.wire.BacklogEntry;
import org.acaciamux.internal.protocol.wire.FleetReport;
import org.acaciamux.internal.protocol.wire.PoolReport;
import org.acaciamux.internal.protocol.wire.RefusalCount;

/**
 * Writes the report of a failure domain as the value of its {@code FleetStatus} object,
 * which the command line reads. Thread-safe; holds no state.
 */
final class FleetStatusJson {

	private FleetStatusJson() {
	}

	/**
	 * Convert a report to JSON.
	 * @param report the sum over a failure domain
	 * @param writer the id of the writing VM
	 * @param nowMs the current time, milliseconds since 1970
	 * @return the value
	 */
	static ObjectNode write(FleetReport report, String writer, long nowMs) {
		long processes = Math.max(1, report.getProcesses());
		ObjectNode value = JsonNodeFactory.instance.objectNode()
			.put("failureDomain", report.getFailureDomain())
			.put("lowestRevision", report.getLowestRevision())
			.put("highestRevision", report.getHighestRevision())
			.put("processes", report.getProcesses())
			.put("laggard", report.getLaggard())
			.put("writer", writer)
			.put("updatedAtMs", nowMs)
			.put("controlBytesPerSecond", report.getControlBytesPerSecond() / processes);
		report.getPoolsList().forEach((pool) -> writePool(value.withArrayProperty("pools").addObject(), pool));
		report.getBacklogList().forEach((entry) -> writeBacklog(value.withArrayProperty("backlog").addObject(), entry));
		return value;
	}

	private static void writePool(ObjectNode node, PoolReport pool) {
		node.put("pool", pool.getPool());
		node.put("members", pool.getMembers());
		node.put("load", pool.getLoad());
		node.put("busiest", pool.getBusiest());
		if (pool.getMembers() > 0) {
			node.put("mean", (double) pool.getLoad() / pool.getMembers());
		}
		node.put("queued", pool.getQueued());
		if (pool.getReturning() > 0) {
			node.put("reuse", (double) pool.getReused() / pool.getReturning());
		}
		pool.getLeavingList().forEach(node.withArrayProperty("leaving")::add);
		for (RefusalCount refusal : pool.getRefusalsList()) {
			node.withArrayProperty("refusals")
				.addObject()
				.put("code", refusal.getCode())
				.put("count", refusal.getCount());
		}
	}

	private static void writeBacklog(ObjectNode node, BacklogEntry entry) {
		node.put("pool", entry.getPool());
		node.put("organisation", entry.getOrganisation());
		node.put("priority", entry.getPriority());
		node.put("count", entry.getCount());
		node.put("oldestMs", entry.getOldestMs());
	}

}

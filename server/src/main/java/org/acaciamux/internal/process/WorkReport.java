package org.acaciamux.internal.process;

import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

import org.acaciamux.internal.coordination.admission.AgentService;
import org.acaciamux.internal.protocol.wire.BacklogEntry;
import org.acaciamux.internal.protocol.wire.FleetReport;
import org.acaciamux.internal.protocol.wire.PoolReport;
import org.acaciamux.internal.protocol.wire.RefusalCount;

/**
 * Builds the report of a process about its work for the fleet status. Thread-safe; holds
 * no state.
 */
final class WorkReport {

	private static final String REFUSED = "acaciamux.admission.refused.";

	private static final String RETURNING = "acaciamux.routing.returning.";

	private static final String REUSED = "acaciamux.routing.reused.";

	private WorkReport() {
	}

	/**
	 * Report the load, queue, refusals and backlog of an agent.
	 * @param core the process
	 * @param pool the agent's pool
	 * @param service runs the agent's requests
	 * @return the report
	 */
	static FleetReport ofAgent(ProcessCore core, String pool, AgentService service) {
		int load = service.load();
		PoolReport.Builder report = PoolReport.newBuilder()
			.setPool(pool)
			.setMembers(1)
			.setLoad(load)
			.setBusiest(load)
			.setQueued(service.queued());
		if (service.leaving()) {
			report.addLeaving(core.settings.id());
		}
		counters(core.registry, REFUSED).forEach((name, counter) -> report.addRefusals(
				RefusalCount.newBuilder().setCode(name.substring(REFUSED.length())).setCount(counter.getCount())));
		FleetReport.Builder fleetReport = baseReport(core).addPools(report);
		service.backlog()
			.forEach((entry) -> fleetReport.addBacklog(BacklogEntry.newBuilder()
				.setPool(pool)
				.setOrganisation(entry.organisation())
				.setPriority(entry.priority())
				.setCount(entry.count())
				.setOldestMs(entry.oldestMs())));
		return fleetReport.build();
	}

	/**
	 * Report how many returning chats of a router reached the server that holds their
	 * context.
	 * @param core the process
	 * @return the report
	 */
	static FleetReport ofRouter(ProcessCore core) {
		FleetReport.Builder fleetReport = baseReport(core);
		counters(core.registry, RETURNING).forEach((name, counter) -> {
			String pool = name.substring(RETURNING.length());
			fleetReport.addPools(PoolReport.newBuilder()
				.setPool(pool)
				.setReturning(counter.getCount())
				.setReused(core.registry.counter(REUSED + pool).getCount()));
		});
		return fleetReport.build();
	}

	private static Map<String, Counter> counters(MetricRegistry registry, String prefix) {
		return registry.getCounters((name, metric) -> name.startsWith(prefix));
	}

	private static FleetReport.Builder baseReport(ProcessCore core) {
		double sentBytesPerSecond = core.registry.getMeters((name, metric) -> name.contains(".sentBytes."))
			.values()
			.stream()
			.mapToDouble(Meter::getOneMinuteRate)
			.sum();
		return FleetReport.newBuilder().setControlBytesPerSecond(Math.round(sentBytesPerSecond));
	}

}

package org.acaciamux.examples.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.HdrHistogram.Histogram;

import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.DaemonSpec;
import org.acaciamux.examples.harness.Fleet;
import org.acaciamux.examples.harness.ManagedProcess;

/**
 * Starts fleets of several sizes that serve no callers, writes records and prints three
 * costs of control: the time until a record is in force in every process, the processor
 * time of an agent and of a router, and the control bytes per second that a process
 * sends. Run with
 * {@code java -cp examples/target/classes:$(cat examples/target/classpath.txt)
 * org.acaciamux.examples.bench.control.ControlCostBench [processes ...]}.
 */
public final class ControlCostBench {

	private static final int[] SIZES = { 4, 8, 16, 32 };

	private static final int CHANGES = 20;

	/** Pause after all processes are ready and before processor time is measured. */
	private static final long SETTLE_MS = 60_000;

	/** Duration of the measurement of processor time, while no record changes. */
	private static final long IDLE_MS = 20_000;

	private static final long POLL_MS = 5;

	private static final double MS_PER_SECOND = 1_000.0;

	private ControlCostBench() {
	}

	/**
	 * Run the benchmark.
	 * @param args numbers of processes; 4, 8, 16 and 32 if none is given
	 * @throws Exception if a process cannot be started or read
	 */
	public static void main(String[] args) throws Exception {
		int[] sizes = (args.length > 0) ? List.of(args).stream().mapToInt(Integer::parseInt).toArray() : SIZES;
		System.out.printf("%10s %20s %18s %22s %22s %12s%n", "processes", "in force p50 (ms)", "in force max (ms)",
				"cpu of an agent (%)", "cpu of a router (%)", "bytes/s");
		for (int size : sizes) {
			measure(size);
		}
	}

	private static void measure(int size) throws Exception {
		try (Fleet fleet = Fleet.start()) {
			fleet.writeRecord("{apiVersion: acaciamux/v2, kind: BackendPool, name: bench, spec: {model: true}}");
			ManagedProcess engine = fleet.startEngine("engine");
			List<Daemon> daemons = start(fleet, size, engine);
			daemons.forEach(fleet::awaitReady);
			Thread.sleep(SETTLE_MS);
			List<Duration> before = cpuTimes(daemons);
			Thread.sleep(IDLE_MS);
			List<Duration> after = cpuTimes(daemons);
			double bytes = daemons.stream()
				.mapToDouble((daemon) -> sentBytesPerSecond(fleet, daemon))
				.average()
				.orElse(0);
			Histogram inForce = new Histogram(3);
			for (int change = 1; change <= CHANGES; change++) {
				inForce.recordValue(measureChange(fleet, daemons, change));
			}
			System.out.printf(Locale.ROOT, "%10d %20d %18d %22.2f %22.2f %12.0f%n", size,
					inForce.getValueAtPercentile(50), inForce.getMaxValue(),
					averageCpuPercent(daemons, before, after, false), averageCpuPercent(daemons, before, after, true),
					bytes);
		}
	}

	private static List<Daemon> start(Fleet fleet, int size, ManagedProcess engine) {
		List<Daemon> daemons = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			String domain = "zone-" + (i % 4);
			DaemonSpec spec = (i % 4 == 0) ? DaemonSpec.router("router-" + i, "region", domain)
					: DaemonSpec.agent("agent-" + i, "region", domain, "bench", engine.hostPort());
			daemons.add(fleet.start(spec));
		}
		return daemons;
	}

	private static long measureChange(Fleet fleet, List<Daemon> daemons, int change) throws InterruptedException {
		long start = System.nanoTime();
		long version = fleet.writeRecord(
				"{apiVersion: acaciamux/v1, kind: Organisation, name: bench, spec: {weight: " + (change + 1) + "}}");
		for (Daemon daemon : daemons) {
			while (revision(fleet, daemon) < version) {
				Thread.sleep(POLL_MS);
			}
		}
		return Duration.ofNanos(System.nanoTime() - start).toMillis();
	}

	private static long revision(Fleet fleet, Daemon daemon) {
		return fleet.caller().get(daemon.adminPort(), "/status").json().path("revision").asLong();
	}

	private static List<Duration> cpuTimes(List<Daemon> daemons) {
		return daemons.stream()
			.map((daemon) -> ProcessHandle.of(daemon.process().pid())
				.flatMap((handle) -> handle.info().totalCpuDuration())
				.orElse(Duration.ZERO))
			.toList();
	}

	private static double averageCpuPercent(List<Daemon> daemons, List<Duration> before, List<Duration> after,
			boolean routers) {
		double sum = 0;
		int count = 0;
		for (int i = 0; i < daemons.size(); i++) {
			if ((daemons.get(i).httpPort() > 0) == routers) {
				sum += after.get(i).minus(before.get(i)).toMillis();
				count++;
			}
		}
		return sum / Math.max(1, count) / IDLE_MS * 100;
	}

	private static double sentBytesPerSecond(Fleet fleet, Daemon daemon) {
		String metrics = fleet.caller().get(daemon.adminPort(), "/metrics").body();
		return metrics.lines()
			.filter((line) -> !line.startsWith("#") && line.contains("sentbytes") && line.contains("_total "))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.sum() / ((SETTLE_MS + IDLE_MS) / MS_PER_SECOND);
	}

}

package org.acaciamux.examples.bench;

import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import org.HdrHistogram.Histogram;

import org.acaciamux.examples.harness.Caller;
import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.DaemonSpec;
import org.acaciamux.examples.harness.Fleet;
import org.acaciamux.examples.harness.ManagedProcess;
import org.acaciamux.examples.harness.ProcessHarness;

/**
 * Measures the latency that a router and an agent add to a call to the backend server.
 * Direct and routed calls alternate in one run, so that both see the same state of the
 * machine. One caller makes one call at a time and keeps its connections open. Not
 * thread-safe.
 */
public final class LatencyBench {

	private static final String REGION = "tw-north";

	private static final long MAX_NANOS = 60_000_000_000L;

	private static final String WRITER_POOL = """
			apiVersion: acaciamux/v1
			kind: BackendPool
			name: writer
			spec: {model: true, repeatable: true}
			""";

	private static final String ORDERING_POOL = """
			apiVersion: acaciamux/v1
			kind: BackendPool
			name: ordering
			spec: {model: false, repeatable: false}
			""";

	@Parameter(names = "--warm-up", description = "pairs of calls before the measurement")
	private int warmUp = 5_000;

	@Parameter(names = "--pairs", description = "pairs of calls that are measured")
	private int pairs = 20_000;

	private final Caller caller = new Caller();

	/**
	 * Run the benchmark and print the figures.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		LatencyBench bench = new LatencyBench();
		JCommander.newBuilder().addObject(bench).build().parse(args);
		ProcessHarness harness = new ProcessHarness(List.of("-Xmx256m", "-XX:+UseSerialGC"));
		try (Fleet fleet = Fleet.start(harness)) {
			bench.run(fleet);
		}
		System.exit(0);
	}

	private void run(Fleet fleet) {
		fleet.writeRecord(WRITER_POOL);
		fleet.writeRecord(ORDERING_POOL);
		ManagedProcess engine = fleet.startEngine("engine-1", "--token-pause-ms", "0");
		ManagedProcess service = fleet.startPlainService("service-1");
		Daemon router = fleet.start(DaemonSpec.router("router-1", REGION, "tw-north-a"));
		fleet.start(DaemonSpec.agent("writer-1", REGION, "tw-north-a", "writer", engine.hostPort()));
		fleet.start(DaemonSpec.agent("till-1", REGION, "tw-north-b", "ordering", service.hostPort()));
		fleet.awaitReady(router);
		fleet.awaitPool(router, "writer", 1);
		fleet.awaitPool(router, "ordering", 1);
		measure("menu read (GET, 40 bytes)",
				new Call(service.port(), router.httpPort(), "/pools/ordering", "GET", "/menu", ""));
		measure("chat of 8 tokens without pauses (POST, streamed)", new Call(engine.port(), router.httpPort(),
				"/pools/writer", "POST", "/v1/chat/completions", "{\"chat\":\"c\",\"prompt\":\"p\",\"maxTokens\":8}"));
	}

	private void measure(String description, Call call) {
		run(call, this.warmUp, new Histogram(MAX_NANOS, 3), new Histogram(MAX_NANOS, 3));
		Histogram direct = new Histogram(MAX_NANOS, 3);
		Histogram routed = new Histogram(MAX_NANOS, 3);
		run(call, this.pairs, direct, routed);
		System.out.printf("%s, %d pairs, microseconds%n", description, this.pairs);
		print("  direct", direct);
		print("  routed", routed);
		System.out.printf("  added   median %.0f  p99 %.0f%n",
				microsAtPercentile(routed, 50) - microsAtPercentile(direct, 50),
				microsAtPercentile(routed, 99) - microsAtPercentile(direct, 99));
	}

	private void run(Call call, int count, Histogram direct, Histogram routed) {
		for (int i = 0; i < count; i++) {
			timeCall(call, call.directPort, call.path, direct);
			timeCall(call, call.routerPort, call.prefix + call.path, routed);
		}
	}

	private void timeCall(Call call, int port, String path, Histogram histogram) {
		long start = System.nanoTime();
		Answer answer = this.caller.send(call.method, port, path, call.body, Map.of());
		histogram.recordValue(Math.min(MAX_NANOS, System.nanoTime() - start));
		if (answer.status() != 200) {
			throw new IllegalStateException("unexpected answer on port " + port + ": " + answer);
		}
	}

	private static void print(String path, Histogram histogram) {
		System.out.printf("%s  median %.0f  p99 %.0f  max %.0f%n", path, microsAtPercentile(histogram, 50),
				microsAtPercentile(histogram, 99), histogram.getMaxValue() / 1000.0);
	}

	private static double microsAtPercentile(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1000.0;
	}

	private record Call(int directPort, int routerPort, String prefix, String method, String path, String body) {
	}

}

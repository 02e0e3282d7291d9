package org.acaciamux.examples.bench.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.beust.jcommander.JCommander;

import org.acaciamux.internal.state.record.PoolSpec;

/**
 * Compares strategies for choosing a backend server on one seeded trace. Run it with
 * <pre>
 * mvn -o -q -B -DskipTests package
 * java -Xmx3g -cp examples/target/classes:$(cat examples/target/classpath.txt) \
 *     org.acaciamux.examples.bench.placement.PlacementBench --servers 26,2200 --seed 1
 * </pre> Columns: name of the strategy (way); share of requests that found their context
 * (reuse) and its ratio to that of the unbounded hash (/hash); load of the busiest server
 * divided by the mean load, sampled every 20 requests (p50, p99, max); chats whose first
 * server changes when a server is replaced, as a multiple of one server's chats (moves);
 * redirects per request (redir); share of queued requests (queued) and 99th percentile of
 * their wait (wait99); share of refused requests (refused); admissions above the limit
 * that the agent knew (overK) and above the limit computed from the exact loads (overX);
 * control bytes per router and second (bytes/s).
 */
public final class PlacementBench {

	private static final double[] PREFERENCES = { 0.0, 0.25, 0.5, 0.75, 1.0 };

	/** High enough that only the load bound limits the load. */
	private static final int MAX_CONCURRENCY = 100_000;

	private final BenchSettings settings;

	private PlacementBench(BenchSettings settings) {
		this.settings = settings;
	}

	/**
	 * Run the benchmark.
	 * @param arguments see {@link BenchSettings}
	 * @throws Exception if a run fails
	 */
	public static void main(String[] arguments) throws Exception {
		BenchSettings settings = new BenchSettings();
		JCommander.newBuilder().addObject(settings).build().parse(arguments);
		new PlacementBench(settings).run();
	}

	private void run() throws InterruptedException, ExecutionException {
		ExecutorService pool = Executors.newFixedThreadPool(this.settings.threads);
		try {
			for (int servers : this.settings.servers) {
				compare(servers, pool);
			}
		}
		finally {
			pool.shutdownNow();
		}
	}

	private void compare(int servers, ExecutorService executor) throws InterruptedException, ExecutionException {
		Trace trace = new Trace(this.settings, servers);
		Map<String, Future<RunResult>> runs = new LinkedHashMap<>();
		runs.put("hash", executor.submit(run(trace, servers, PlacementStrategy::hash, false, 1.0)::run));
		submit(runs, executor, "hash-bounded", run(trace, servers, PlacementStrategy::boundedHash, true, 1.0));
		submit(runs, executor, "two-random", run(trace, servers, PlacementStrategy::twoRandom, true, 1.0));
		submit(runs, executor, "lighter-of-two", run(trace, servers, PlacementStrategy::lighterOfTwo, true, 1.0));
		submit(runs, executor, "warm-of-two", run(trace, servers, PlacementStrategy::warmOfTwo, true, 1.0));
		for (double preference : PREFERENCES) {
			submit(runs, executor, "chosen-" + preference,
					run(trace, servers, PlacementStrategy::chooserPlan, true, preference));
		}
		print(runs, servers, trace);
	}

	private void submit(Map<String, Future<RunResult>> runs, ExecutorService executor, String name, PlacementRun run) {
		if (this.settings.strategies.isEmpty() || this.settings.strategies.stream().anyMatch(name::contains)) {
			runs.put(name, executor.submit(run::run));
		}
	}

	private PlacementRun run(Trace trace, int servers, PlacementStrategy strategy, boolean bounded, double preference) {
		PoolSpec pool = new PoolSpec("assistant", true, true, this.settings.bound, preference, this.settings.candidates,
				MAX_CONCURRENCY, 512, 30_000, 30_000, 16, 900_000, false, "", List.of());
		return new PlacementRun(this.settings, trace, servers, strategy, bounded, pool);
	}

	private void print(Map<String, Future<RunResult>> runs, int servers, Trace trace)
			throws InterruptedException, ExecutionException {
		System.out.printf(
				"%n%d servers, %d routers, %d requests at %.0f/s, %d chats, mix %s, exchange lag %.1f s, view every %.0f s, candidates %d, bound %.2f, seed %d%n",
				servers, this.settings.routers(servers), trace.size(), trace.ratePerSecond, trace.chatIds.length,
				this.settings.mix, this.settings.exchangeLag, this.settings.viewInterval(servers),
				this.settings.candidates, this.settings.bound, this.settings.seed);
		System.out.println(RunResult.header());
		RunResult hash = runs.get("hash").get();
		List<String> names = new ArrayList<>(runs.keySet());
		for (String name : names) {
			System.out.println(runs.get(name)
				.get()
				.row(name, hash.reuse(), servers, this.settings.routers(servers), ControlMessageSizes.redirect()));
		}
	}

}

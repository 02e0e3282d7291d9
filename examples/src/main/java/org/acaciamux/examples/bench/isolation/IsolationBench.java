package org.acaciamux.examples.bench.isolation;

import java.util.Locale;

/**
 * Measures how long requests of nine well-behaved organisations wait at one agent while
 * another organisation sends ten times its share. Uses the production admission control
 * and fair queue in virtual time. The baseline assigns all requests to one organisation,
 * so that the queue is first come, first served. Deterministic for a seed. Run with
 * {@code java -cp examples/target/classes:$(cat examples/target/classpath.txt)
 * org.acaciamux.examples.bench.isolation.IsolationBench [seed]}.
 */
public final class IsolationBench {

	private static final long DEFAULT_SEED = 1;

	private IsolationBench() {
	}

	/**
	 * Run the benchmark.
	 * @param args the seed, 1 if none is given
	 */
	public static void main(String[] args) {
		long seed = (args.length > 0) ? Long.parseLong(args[0]) : DEFAULT_SEED;
		System.out.println("waits of nine well-behaved organisations in ms, seed " + seed);
		print("fair queue, no surge", new IsolationRun(seed, 1.0, true).run());
		print("fair queue, one organisation at 10 times its share", new IsolationRun(seed, 10.0, true).run());
		print("one queue for all, no surge", new IsolationRun(seed, 1.0, false).run());
		print("one queue for all, one organisation at 10 times its share", new IsolationRun(seed, 10.0, false).run());
	}

	private static void print(String name, IsolationRun.Waits waits) {
		System.out.printf(Locale.ROOT,
				"%-62s others: mean %7.1f p50 %5d p99 %6d max %6d refused %.3f; surging one: p99 %6d refused %.3f%n",
				name, waits.others().getMean(), waits.others().getValueAtPercentile(50),
				waits.others().getValueAtPercentile(99), waits.others().getMaxValue(), waits.othersRefused(),
				waits.surging().getValueAtPercentile(99), waits.surgingRefused());
	}

}

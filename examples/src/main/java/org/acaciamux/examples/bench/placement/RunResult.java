package org.acaciamux.examples.bench.placement;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * The measurements of one run after its warm-up. Not thread-safe.
 */
final class RunResult {

	/** The histogram holds integers, so the skew is stored in thousandths. */
	private static final int SCALE = 1_000;

	/** Highest load of a server over the mean load, times {@link #SCALE}. */
	final Histogram skew = new Histogram(3);

	final Histogram waitMs = new Histogram(3);

	long requests;

	long hits;

	long redirects;

	long queued;

	long refused;

	/** Admissions above the limit that the agent computed from the loads it knew. */
	long overKnownLimit;

	/** Admissions above the limit computed from the exact loads. */
	long overExactLimit;

	double maxLoadOverExactLimit;

	/** Sum over all replacements of the share of chats whose first server changed. */
	double movedShareSum;

	long replacements;

	double seconds;

	double viewBytesPerSecond;

	void recordSkew(int busiest, double mean) {
		this.skew.recordValue(Math.round(busiest / mean * SCALE));
	}

	void recordAdmission(int load, int knownLimit, int exactLimit) {
		this.overKnownLimit += (load > knownLimit) ? 1 : 0;
		this.overExactLimit += (load > exactLimit) ? 1 : 0;
		this.maxLoadOverExactLimit = Math.max(this.maxLoadOverExactLimit, load / (double) exactLimit);
	}

	double reuse() {
		return this.hits / (double) this.requests;
	}

	double skewAt(double percentile) {
		return this.skew.getValueAtPercentile(percentile) / (double) SCALE;
	}

	double maxSkew() {
		return this.skew.getMaxValue() / (double) SCALE;
	}

	static String header() {
		return String.format("%-16s %6s %6s %6s %6s %6s %6s %6s %8s %7s %8s %7s %7s %9s", "way", "reuse", "/hash",
				"p50", "p99", "max", "moves", "redir", "queued", "wait99", "refused", "overK", "overX", "bytes/s");
	}

	String row(String strategy, double hashReuse, int servers, int routers, int redirectBytes) {
		double bytes = this.viewBytesPerSecond + redirectBytes * (this.redirects / this.seconds / routers);
		return String.format(Locale.ROOT,
				"%-16s %6.3f %6.3f %6.2f %6.2f %6.2f %6.2f %6.3f %7.2f%% %5d ms %7.2f%% %7d %7d %9.0f", strategy,
				reuse(), reuse() / hashReuse, skewAt(50), skewAt(99), maxSkew(),
				this.movedShareSum / Math.max(1, this.replacements) * servers, this.redirects / (double) this.requests,
				100.0 * this.queued / this.requests, this.waitMs.getValueAtPercentile(99),
				100.0 * this.refused / this.requests, this.overKnownLimit, this.overExactLimit, bytes);
	}

}

package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs whose responses broke off, until it is known whether their servers crashed.
 * Invariants: a run is kept for {@link #CONFIRM_NANOS}; at most {@link #MAX_RUNS} are
 * kept. Confined to the event loop.
 */
final class BrokenRuns {

	/** Largest number of runs: several loaded servers at once. */
	static final int MAX_RUNS = 1_024;

	/**
	 * Time after a broken response in which the end of its server's lifetime counts as a
	 * crash, in nanoseconds: the directory removes a server after up to 5 s of silence.
	 */
	private static final long CONFIRM_NANOS = 5_000_000_000L;

	private final List<BrokenRun> runs = new ArrayList<>();

	void add(PromptRun run, String server, long now) {
		expire(now);
		this.runs.add(new BrokenRun(run, server, now, true));
		if (this.runs.size() > MAX_RUNS) {
			this.runs.remove(0);
		}
	}

	void expire(long now) {
		this.runs.removeIf((broken) -> now - broken.at > CONFIRM_NANOS);
	}

	/**
	 * Record that a server was found to live. Its runs count again only if it turns out
	 * to have been restarted.
	 * @param server its lifetime
	 */
	void lives(String server) {
		this.runs.replaceAll((broken) -> broken.server.equals(server) ? broken.withoutDoubt() : broken);
	}

	/**
	 * Remove the runs of a server that crashed.
	 * @param server its lifetime
	 * @param now the monotonic time in nanoseconds
	 * @return the runs
	 */
	List<BrokenRun> take(String server, long now) {
		expire(now);
		List<BrokenRun> taken = this.runs.stream().filter((broken) -> broken.server.equals(server)).toList();
		this.runs.removeAll(taken);
		return taken;
	}

	/**
	 * List the runs with a part whose servers may have crashed.
	 * @param part the part
	 * @param now the monotonic time in nanoseconds
	 * @return the runs
	 */
	List<BrokenRun> inDoubt(String part, long now) {
		expire(now);
		return this.runs.stream().filter((broken) -> broken.inDoubt && broken.run.parts().contains(part)).toList();
	}

	/**
	 * A run whose response broke off. Immutable and thread-safe, except for the run.
	 *
	 * @param run the run
	 * @param server the lifetime of its server
	 * @param at when it broke off, monotonic time in nanoseconds
	 * @param inDoubt whether the server may have crashed
	 */
	record BrokenRun(PromptRun run, String server, long at, boolean inDoubt) {

		private BrokenRun withoutDoubt() {
			return new BrokenRun(this.run, this.server, this.at, false);
		}

	}

}

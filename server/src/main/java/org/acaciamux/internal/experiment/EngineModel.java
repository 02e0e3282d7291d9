package org.acaciamux.internal.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.direct.ReportedLoad;

/**
 * A simulated model engine in virtual time. It processes requests in a batch, reads
 * prompts in chunks between output tokens, caches prompt parts until memory runs short,
 * and preempts the newest request when the running ones no longer fit into memory.
 * Invariants: at most {@code slots} requests run; a part stays cached only as long as all
 * tokens fit into memory. Used by one thread.
 */
final class EngineModel implements SimulatedServer {

	/** Maximum number of prompt tokens that are read in one step. */
	private static final int CHUNK_TOKENS = 512;

	private final Map<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);

	private final List<EngineRun> batch = new ArrayList<>();

	private final Deque<EngineRun> queue = new ArrayDeque<>();

	private final ExperimentFleet fleet;

	private final ServerNoise noise;

	private final Timeline timeline;

	private long cachedTokens;

	private long readTokens;

	private long reusedTokens;

	private long preempted;

	private boolean stepping;

	EngineModel(ExperimentFleet fleet, ServerNoise noise, Timeline timeline) {
		this.fleet = fleet;
		this.noise = noise;
		this.timeline = timeline;
	}

	@Override
	public void accept(EngineRun run) {
		this.queue.add(run);
		step();
	}

	@Override
	public void cancel(EngineRun run) {
		this.queue.remove(run);
		this.batch.remove(run);
	}

	@Override
	public ReportedLoad load() {
		return new ReportedLoad(this.batch.size(), this.queue.size(), this.fleet.slots(),
				this.noise.percent(this.timeline.ms()));
	}

	long readTokens() {
		return this.readTokens;
	}

	long reusedTokens() {
		return this.reusedTokens;
	}

	long preempted() {
		return this.preempted;
	}

	private void step() {
		if (this.stepping) {
			return;
		}
		fillBatch();
		if (this.batch.isEmpty()) {
			return;
		}
		this.stepping = true;
		EngineRun reading = this.batch.stream().filter((run) -> run.unreadTokens > 0).findFirst().orElse(null);
		int chunk = (reading != null) ? Math.min(CHUNK_TOKENS, reading.unreadTokens) : 0;
		List<EngineRun> generating = this.batch.stream().filter((run) -> run.unreadTokens == 0).toList();
		double ms = chunk / this.fleet.promptTokensPerMs();
		if (!generating.isEmpty()) {
			ms += this.fleet.stepMs() + this.fleet.stepMicrosPerRequest() * generating.size() / 1_000;
		}
		double now = this.timeline.ms();
		this.timeline.after(this.noise.endMs(now, ms) - now, () -> endStep(reading, chunk, generating));
	}

	private void endStep(EngineRun reading, int chunk, List<EngineRun> generating) {
		this.stepping = false;
		if (reading != null && this.batch.contains(reading)) {
			reading.unreadTokens -= chunk;
			this.readTokens += chunk;
			if (reading.unreadTokens == 0) {
				cache(reading.prompt);
			}
		}
		for (EngineRun run : generating) {
			if (this.batch.contains(run)) {
				generate(run);
			}
		}
		step();
	}

	private void generate(EngineRun run) {
		run.generatedTokens++;
		if (run.generatedTokens == 1) {
			run.listener.firstToken();
		}
		if (run.generatedTokens >= run.outputTokens) {
			this.batch.remove(run);
			run.listener.ended();
		}
	}

	private void fillBatch() {
		while (!this.queue.isEmpty() && this.batch.size() < this.fleet.slots()
				&& runningTokens() + this.queue.peek().memoryTokens() <= this.fleet.memoryTokens()) {
			EngineRun run = this.queue.poll();
			run.unreadTokens = uncachedTokens(run.prompt) + run.generatedTokens;
			this.reusedTokens += run.memoryTokens() - run.unreadTokens;
			this.batch.add(run);
		}
		while (this.batch.size() > 1 && runningTokens() > this.fleet.memoryTokens()) {
			this.queue.addFirst(this.batch.remove(this.batch.size() - 1));
			this.preempted++;
		}
		evict();
	}

	private long runningTokens() {
		return this.batch.stream().mapToLong(EngineRun::memoryTokens).sum();
	}

	private int uncachedTokens(List<PromptPart> prompt) {
		int uncachedTokens = 0;
		boolean prefixCached = true;
		for (PromptPart part : prompt) {
			prefixCached = prefixCached && this.cachedParts.containsKey(part.id());
			uncachedTokens += prefixCached ? 0 : part.tokens();
		}
		// The engine computes the last prompt token even if all parts are cached.
		return Math.max(1, uncachedTokens);
	}

	private void cache(List<PromptPart> prompt) {
		for (PromptPart part : prompt) {
			if (this.cachedParts.put(part.id(), part.tokens()) == null) {
				this.cachedTokens += part.tokens();
			}
		}
		evict();
	}

	private void evict() {
		long availableTokens = this.fleet.memoryTokens() - runningTokens();
		Iterator<Integer> eldest = this.cachedParts.values().iterator();
		while (this.cachedTokens > availableTokens && eldest.hasNext()) {
			this.cachedTokens -= eldest.next();
			eldest.remove();
		}
	}

}

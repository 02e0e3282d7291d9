package org.acaciamux.internal.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against agents that exceed the load bound, give a request no or several final
 * outcomes, or start requests after a drain. Three agents run under a random load while
 * their load exchanges are delayed or lost. The checks use only what the backend servers
 * and the callers observed.
 */
public class LoadBoundTests {

	private static final int AGENTS = 3;

	private static final long STEP_MS = 10;

	private static final long RUN_MS = 40_000;

	private static final long MAX_AGE_MS = 3_000;

	private static final int FIXED_SEEDS = 20;

	private static final double BOUND = 1.25;

	@DataProvider
	public Object[][] seeds() {
		long given = Long.getLong("acaciamux.seed", 0);
		if (given != 0) {
			return new Object[][] { { given } };
		}
		Object[][] seeds = new Object[FIXED_SEEDS][];
		for (int i = 0; i < FIXED_SEEDS; i++) {
			seeds[i] = new Object[] { i + 1L };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	public void theBoundHoldsEachRequestEndsOnceAndADrainStartsNothingNew(long seed) {
		Simulation simulation = new Simulation(seed);
		simulation.run();
		assertTrue(simulation.violations.isEmpty(), "seed " + seed + ": " + simulation.violations);
		assertTrue(simulation.admissions > 200, "seed " + seed + " admitted only " + simulation.admissions);
		assertTrue(simulation.admissionsAtTheBound > 0, "seed " + seed + " never reached the bound");
	}

	/**
	 * Simulates the agents, the load exchange and the callers.
	 */
	private static final class Simulation {

		private final List<AgentFixture> agents = new ArrayList<>();

		private final List<Entry[]> views = new ArrayList<>();

		private final PriorityQueue<Event> events = new PriorityQueue<>(
				(left, right) -> Long.compare(left.atMs, right.atMs));

		private final List<Deque<long[]>> history = new ArrayList<>();

		private final Map<RequestId, Integer> redirects = new HashMap<>();

		private final Set<RequestId> cancelled = new HashSet<>();

		private final Set<RequestId> afterDrain = new HashSet<>();

		private final List<String> violations = new ArrayList<>();

		private final Random random;

		private final double lossRate;

		private final long maxDelayMs;

		private long nowMs = 1_000;

		private long sequence;

		private int drained = -1;

		private int admissions;

		private int admissionsAtTheBound;

		private Simulation(long seed) {
			this.random = new Random(seed);
			this.lossRate = this.random.nextDouble() * 0.6;
			this.maxDelayMs = 1 + this.random.nextInt(4_000);
			for (int i = 0; i < AGENTS; i++) {
				AgentFixture agent = new AgentFixture();
				int index = i;
				agent.backend.onStart = (run) -> started(index, run);
				this.agents.add(agent);
				this.views.add(new Entry[AGENTS]);
				this.history.add(new ArrayDeque<>());
			}
		}

		private void run() {
			int drainAt = 10_000 + this.random.nextInt(20_000);
			while (this.nowMs < RUN_MS + 1_000) {
				step();
				if (this.drained < 0 && this.nowMs > drainAt) {
					this.drained = this.random.nextInt(AGENTS);
					this.agents.get(this.drained).agent.drain();
				}
				arrive();
			}
			long end = this.nowMs + 70_000;
			while (this.nowMs < end) {
				step();
			}
			checkOutcomes();
		}

		private void step() {
			this.nowMs += STEP_MS;
			while (!this.events.isEmpty() && this.events.peek().atMs <= this.nowMs) {
				this.events.poll().action.run();
			}
			for (int i = 0; i < AGENTS; i++) {
				refreshView(i);
				if (this.nowMs % AgentService.TICK_MS == 0) {
					this.agents.get(i).agent.tick();
				}
				recordLoad(i);
			}
			if (this.nowMs % 500 == 0) {
				exchange();
			}
		}

		private void refreshView(int index) {
			AgentFixture agent = this.agents.get(index);
			agent.nowMs = this.nowMs;
			int others = 0;
			for (Entry entry : this.views.get(index)) {
				if (entry != null && this.nowMs - entry.sampledMs <= MAX_AGE_MS) {
					others += entry.load;
				}
			}
			agent.load = new PoolLoad(AGENTS, others, AGENTS - 1);
		}

		private void exchange() {
			for (int from = 0; from < AGENTS; from++) {
				for (int to = 0; to < AGENTS; to++) {
					if (from != to && this.random.nextDouble() > this.lossRate) {
						Entry entry = new Entry(this.agents.get(from).agent.load(), this.nowMs);
						deliver(from, to, entry);
					}
				}
			}
		}

		private void deliver(int from, int to, Entry entry) {
			after(this.random.nextInt((int) this.maxDelayMs), () -> {
				Entry held = this.views.get(to)[from];
				if (held == null || held.sampledMs < entry.sampledMs) {
					this.views.get(to)[from] = entry;
				}
			});
		}

		private void after(long delayMs, Runnable action) {
			this.events.add(new Event(this.nowMs + delayMs, action));
		}

		private void arrive() {
			boolean surge = (this.nowMs / 5_000) % 2 == 0;
			if (this.random.nextInt(surge ? 4 : 25) == 0) {
				RequestId id = RequestId.newBuilder().setIncarnation(1).setSequence(++this.sequence).build();
				int first = this.random.nextInt(AGENTS);
				this.redirects.put(id, 0);
				submit(id, first, false);
				if (this.random.nextInt(20) == 0) {
					after(this.random.nextInt(500), () -> cancel(id));
				}
			}
		}

		private void submit(RequestId id, int index, boolean last) {
			AgentFixture agent = this.agents.get(index);
			if (index == this.drained) {
				this.afterDrain.add(id);
			}
			agent.submit((submit) -> submit.setId(id)
				.setFinalTrial(last)
				.setOrganisation("org-" + this.random.nextInt(3))
				.setDeadlineMs(500 + this.random.nextInt(20_000))
				.setBody(ByteString.copyFromUtf8(id.getSequence() + "")));
			boolean redirected = agent.link.refused(id).filter(Refused::getRedirect).isPresent();
			if (redirected && !last) {
				this.redirects.merge(id, 1, Integer::sum);
				submit(id, (index + 1) % AGENTS, true);
			}
		}

		private void cancel(RequestId id) {
			this.cancelled.add(id);
			this.agents.forEach((agent) -> agent.cancel(id));
		}

		private void started(int index, FakeBackend.Run run) {
			int load = this.agents.get(index).backend.running().size();
			this.admissions++;
			checkBound(index, load);
			recordLoad(index);
			long sequenceOfRun = Long.parseLong(run.body());
			RequestId id = RequestId.newBuilder().setIncarnation(1).setSequence(sequenceOfRun).build();
			if (index == this.drained && this.afterDrain.contains(id)) {
				this.violations.add("started after the drain: " + sequenceOfRun);
			}
			long duration = 20 + this.random.nextInt(1_500);
			after(duration, () -> finish(index, run));
		}

		private void finish(int index, FakeBackend.Run run) {
			if (run.ended) {
				return;
			}
			if (this.random.nextInt(20) == 0) {
				run.fail(Backend.Break.BROKEN_OFF);
			}
			else {
				run.answer("ok");
			}
			recordLoad(index);
		}

		private void recordLoad(int index) {
			Deque<long[]> past = this.history.get(index);
			past.addLast(new long[] { this.nowMs, this.agents.get(index).backend.running().size() });
			while (past.size() > 1 && past.peekFirst()[0] < this.nowMs - MAX_AGE_MS) {
				past.removeFirst();
			}
		}

		private void checkBound(int index, int load) {
			long total = load - 1 + largestLoadOfOthers(index);
			long bound = (long) Math.ceil(BOUND * (total + 1) / AGENTS - 1e-9);
			long limit = Math.min(this.agents.get(index).pool.maxConcurrency(), bound);
			if (load > limit) {
				this.violations.add("at " + this.nowMs + " server " + index + " carries " + load + " over " + limit);
			}
			this.admissionsAtTheBound += (load == limit) ? 1 : 0;
		}

		private long largestLoadOfOthers(int index) {
			// Sums the highest load of each other server in the last 3 s. These loads may
			// belong to different moments, because no exchange between processes can give
			// the loads of all servers at the same moment.
			long sum = 0;
			for (int other = 0; other < AGENTS; other++) {
				long largest = this.history.get(other).stream().mapToLong((sample) -> sample[1]).max().orElse(0);
				sum += (other != index) ? largest : 0;
			}
			return sum;
		}

		private void checkOutcomes() {
			this.redirects.forEach((id, count) -> {
				long finals = this.agents.stream().mapToLong((agent) -> agent.link.finalFrames(id)).sum() - count;
				boolean wrong = this.cancelled.contains(id) ? finals > 1 : finals != 1;
				if (wrong) {
					this.violations.add("request " + id.getSequence() + " has " + finals + " final outcomes");
				}
			});
			this.agents.forEach((agent) -> assertEquals(agent.agent.load() + agent.agent.queued(), 0));
			assertTrue(this.agents.get(this.drained).agent.drainProgress().done());
		}

	}

	private record Entry(int load, long sampledMs) {
	}

	private record Event(long atMs, Runnable action) {
	}

}

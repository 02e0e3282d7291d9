package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.SuspectEntry;

import static org.testng.Assert.assertTrue;

/**
 * Guards against a request that crashes one backend server after another because its
 * caller sends it again. Two to four agents also serve harmless requests, which must all
 * complete. The checks use only what the backend servers and the callers observed.
 */
public class CrashTests {

	private static final long STEP_MS = 10;

	private static final long RUN_MS = 30_000;

	private static final int FIXED_SEEDS = 21;

	private static final int LOST_PERCENT = 10;

	private static final int MAX_CRASHES = 3;

	private static final String POISON = "poison";

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
	public void aRequestThatCrashesServersIsQuarantinedAndOthersComplete(long seed) {
		Simulation simulation = new Simulation(seed);
		simulation.run();
		assertTrue(simulation.crashes >= 1, "seed " + seed + " crashed nothing");
		assertTrue(simulation.crashes <= MAX_CRASHES, "seed " + seed + " crashed " + simulation.crashes + " servers");
		assertTrue(simulation.violations.isEmpty(), "seed " + seed + ": " + simulation.violations);
		assertTrue(simulation.incomplete.isEmpty(), "seed " + seed + " never completed " + simulation.incomplete);
		assertTrue(simulation.quarantined, "seed " + seed + " did not quarantine the request");
	}

	/**
	 * Simulates the agents, the load exchange between them, and the callers.
	 */
	private static final class Simulation {

		private final List<AgentFixture> agents = new ArrayList<>();

		private final List<boolean[]> down = new ArrayList<>();

		private final PriorityQueue<Event> events = new PriorityQueue<>(
				(left, right) -> Long.compare(left.atMs, right.atMs));

		private final List<String> violations = new ArrayList<>();

		private final Set<String> incomplete = new HashSet<>();

		private final Map<RequestId, String> sent = new HashMap<>();

		private final Set<RequestId> collected = new HashSet<>();

		private final Random random;

		private final int size;

		private long nowMs = 1_000;

		private long sequence;

		private int crashes;

		private boolean quarantined;

		private Simulation(long seed) {
			this.random = new Random(seed);
			this.size = 2 + (int) (seed % 3);
			for (int i = 0; i < this.size; i++) {
				int index = i;
				this.down.add(new boolean[this.size]);
				AgentFixture agent = new AgentFixture("agent-" + i, (fingerprint) -> designated(index, fingerprint));
				agent.backend.onStart = (run) -> after(1, () -> started(index, run));
				agent.suspects.onChange(() -> exchange(index, 0));
				this.agents.add(agent);
			}
		}

		private Optional<String> designated(int viewer, long fingerprint) {
			Optional<String> best = Optional.empty();
			long bestRank = 0;
			for (int i = 0; i < this.size; i++) {
				boolean healthy = (i == viewer) ? !this.agents.get(i).agent.backendDown() : !this.down.get(viewer)[i];
				long rank = new Random(fingerprint * 31 + i).nextLong() >>> 1;
				if (healthy && (best.isEmpty() || rank > bestRank)) {
					best = Optional.of("agent-" + i);
					bestRank = rank;
				}
			}
			return best;
		}

		private void run() {
			long poisonAt = 3_000 + this.random.nextInt(3_000);
			after(poisonAt, () -> send(POISON, this.random.nextInt(this.size)));
			while (this.nowMs < RUN_MS) {
				step();
				if (this.nowMs < RUN_MS / 2 && this.random.nextInt(8) == 0) {
					String body = "innocent-" + this.sequence;
					this.incomplete.add(body);
					send(body, this.random.nextInt(this.size));
				}
			}
			long end = this.nowMs + 40_000;
			while (this.nowMs < end && !this.incomplete.isEmpty()) {
				step();
			}
		}

		private void step() {
			this.nowMs += STEP_MS;
			for (int i = 0; i < this.size; i++) {
				refreshView(i);
			}
			while (!this.events.isEmpty() && this.events.peek().atMs <= this.nowMs) {
				this.events.poll().action.run();
			}
			for (int i = 0; i < this.size; i++) {
				if (this.nowMs % AgentService.TICK_MS == 0) {
					this.agents.get(i).agent.tick();
				}
				if (this.nowMs % 500 == 0) {
					exchange(i, LOST_PERCENT);
				}
				collect(i);
			}
		}

		private void refreshView(int index) {
			AgentFixture agent = this.agents.get(index);
			agent.nowMs = this.nowMs;
			int healthy = 0;
			for (int other = 0; other < this.size; other++) {
				healthy += (other != index && !this.down.get(index)[other]) ? 1 : 0;
			}
			agent.load = new PoolLoad(this.size, 4 * this.size, healthy);
		}

		private void exchange(int from, int lostPercent) {
			boolean backendDown = this.agents.get(from).agent.backendDown();
			List<SuspectEntry> entries = this.agents.get(from).agent.suspects();
			for (int to = 0; to < this.size; to++) {
				int target = to;
				if (to != from && this.random.nextInt(100) >= lostPercent) {
					after(1 + this.random.nextInt(50), () -> {
						this.down.get(target)[from] = backendDown;
						this.agents.get(target).agent.mergeSuspects(entries);
					});
				}
			}
		}

		private void after(long delayMs, Runnable action) {
			this.events.add(new Event(this.nowMs + delayMs, action));
		}

		private void send(String body, int index) {
			AgentFixture agent = this.agents.get(index);
			RequestId id = RequestId.newBuilder().setIncarnation(1).setSequence(++this.sequence).build();
			this.sent.put(id, body);
			agent.submit((submit) -> submit.setId(id).setBody(ByteString.copyFromUtf8(body)));
		}

		private void started(int index, FakeBackend.Run run) {
			if (run.ended) {
				return;
			}
			if (run.body().equals(POISON)) {
				after(this.random.nextInt(100), () -> crash(index, run));
				return;
			}
			after(50 + this.random.nextInt(400), () -> {
				if (!run.ended) {
					run.answer("ok");
				}
			});
		}

		private void crash(int index, FakeBackend.Run poison) {
			FakeBackend backend = this.agents.get(index).backend;
			if (poison.ended) {
				return;
			}
			this.crashes++;
			boolean othersUp = this.agents.stream()
				.anyMatch((agent) -> agent.backend != backend && !agent.backend.refusing);
			if (!othersUp) {
				this.violations.add("the last healthy server crashed at " + this.nowMs);
			}
			boolean restartsAtOnce = this.random.nextBoolean();
			backend.refusing = !restartsAtOnce;
			backend.crash("incarnation-" + this.crashes);
			after(500 + this.random.nextInt(3_000), () -> backend.refusing = false);
		}

		private void collect(int index) {
			FakeLink link = this.agents.get(index).link;
			this.sent.forEach((id, body) -> {
				if (link.finalFrames(id) > 0 && this.collected.add(id)) {
					handleAnswer(id, body, index, link);
				}
			});
			this.sent.keySet().removeAll(this.collected);
			link.sent.clear();
		}

		private void handleAnswer(RequestId id, String body, int index, FakeLink link) {
			Optional<Refused> refused = link.refused(id);
			if (refused.isEmpty() && link.end(id).orElseThrow().getFailureCode().isEmpty()) {
				this.incomplete.remove(body);
				return;
			}
			String code = refused.map(Refused::getFailureCode).orElse("backend-failed");
			if (code.equals("request-quarantined")) {
				recordQuarantine(body);
				return;
			}
			String target = refused.map(Refused::getOwner).orElse("");
			int next = target.isEmpty() ? this.random.nextInt(this.size) : Integer.parseInt(target.substring(6));
			long pauseMs = target.isEmpty() ? 200 + this.random.nextInt(1_000) : 5;
			after(pauseMs, () -> send(body, next));
		}

		private void recordQuarantine(String body) {
			this.quarantined |= body.equals(POISON);
			if (!body.equals(POISON)) {
				this.violations.add(body + " is quarantined");
			}
		}

	}

	private record Event(long atMs, Runnable action) {
	}

}

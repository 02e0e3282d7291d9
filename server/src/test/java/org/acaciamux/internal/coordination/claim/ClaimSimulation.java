package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims.Decision;
import org.acaciamux.internal.coordination.claim.CallClaims.KeyedCall;
import org.acaciamux.internal.coordination.platform.FakeObjectStore;

/**
 * Simulates three agents with real ledgers and one fake store. All choices come from a
 * seed: calls to the store, messages and decisions are delivered, delayed, lost and
 * reordered; agents freeze, restart and take partitions over from each other, also from
 * live owners. A {@link ClaimChecker} receives the outcomes reported to callers and the
 * calls that backend servers ran.
 */
final class ClaimSimulation {

	static final String POOL = "pay";

	private static final int PARTITIONS = 2;

	private static final int MAX_ATTEMPTS = 8;

	private static final long RETENTION_MS = 60_000;

	private static final ClaimSettings SETTINGS = new ClaimSettings(1_000, 4, 500, 50, 1024, 4_000, 10_000);

	private final Random random;

	private final FakeObjectStore store = new FakeObjectStore();

	private final ClaimChecker checker = new ClaimChecker();

	private final List<Agent> agents = new ArrayList<>();

	private final List<Caller> callers = new ArrayList<>();

	private long nowNanos = TimeUnit.DAYS.toNanos(1);

	private long incarnations = 100;

	private boolean faults = true;

	private boolean outage;

	ClaimSimulation(long seed) {
		this.random = new Random(seed);
		this.store.holdIf((call) -> true);
		for (int i = 0; i < 3; i++) {
			this.agents.add(new Agent("a" + i));
		}
	}

	ClaimChecker run(int steps) {
		for (int i = 0; i < steps; i++) {
			step();
		}
		runWithoutFaults();
		return this.checker;
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private Agent anyAgent() {
		return this.agents.get(this.random.nextInt(this.agents.size()));
	}

	private void step() {
		this.nowNanos += TimeUnit.MICROSECONDS.toNanos(this.random.nextInt(4_000));
		double choice = this.random.nextDouble();
		if (choice < 0.45) {
			storeStep();
		}
		else if (choice < 0.7) {
			anyAgent().step();
		}
		else if (choice < 0.8) {
			anyAgent().tick();
		}
		else if (choice < 0.99) {
			callerStep();
		}
		else {
			fault();
		}
	}

	private void fault() {
		double choice = this.random.nextDouble();
		Agent agent = anyAgent();
		if (choice < 0.5) {
			agent.takeOver();
		}
		else if (choice < 0.65) {
			agent.frozen = !agent.frozen;
		}
		else if (choice < 0.69) {
			this.agents.set(this.agents.indexOf(agent), new Agent(agent.vm));
		}
		else if (choice < 0.78) {
			this.outage = !this.outage;
		}
		else if (choice < 0.84) {
			agent.ledger.states().forEach((state) -> agent.ledger.release(this.random.nextInt(PARTITIONS)));
		}
		else if (choice < 0.92) {
			agent.skewMs = this.random.nextInt(40_000) - 20_000;
		}
		else {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(this.random.nextLong(2 * RETENTION_MS));
		}
	}

	private void storeStep() {
		List<FakeObjectStore.Call> held = this.store.held();
		if (held.isEmpty()) {
			return;
		}
		FakeObjectStore.Call call = held.get(this.random.nextInt(held.size()));
		Agent agent = this.agents.stream()
			.filter((candidate) -> candidate.client.equals(call.client()))
			.findAny()
			.orElse(null);
		boolean reachable = agent != null && !agent.frozen;
		if (this.faults && chance(0.12)) {
			call.apply();
		}
		else if (call.isAnswered()) {
			finishUnanswered(call);
		}
		else if (reachable) {
			answer(call);
		}
		else if (agent == null && chance(0.2)) {
			call.drop();
		}
	}

	private void finishUnanswered(FakeObjectStore.Call call) {
		if (chance(0.1)) {
			call.apply();
		}
		else if (chance(0.1)) {
			call.drop();
		}
	}

	private void answer(FakeObjectStore.Call call) {
		if (this.faults && chance(0.08)) {
			call.loseAnswer();
		}
		else if (this.faults && this.outage) {
			call.refuse();
		}
		else {
			call.answer();
		}
	}

	private void callerStep() {
		this.callers.removeIf((caller) -> caller.done || caller.attempts > MAX_ATTEMPTS);
		if (this.callers.size() < 20 && chance(0.3)) {
			this.callers.add(new Caller());
		}
		if (!this.callers.isEmpty()) {
			this.callers.get(this.random.nextInt(this.callers.size())).step();
		}
	}

	private void runWithoutFaults() {
		this.faults = false;
		this.agents.forEach((agent) -> agent.frozen = false);
		for (int i = 0; i < 6_000; i++) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(1);
			storeStep();
			this.agents.forEach(Agent::step);
			this.agents.forEach(Agent::tick);
			if (i % 500 == 0) {
				this.agents.get(0).takeOver();
			}
		}
		this.agents.forEach((agent) -> this.checker.checkAnswered(agent.unanswered));
		boolean ownsPartitions = this.agents.get(0).ledger.states()
			.stream()
			.allMatch((state) -> state == ClaimPartition.State.OWNED);
		this.checker.checkOwnership(ownsPartitions, this.agents.get(0).ledger.dump().toString());
	}

	private long nowMs() {
		return 1_700_000_000_000L + TimeUnit.NANOSECONDS.toMillis(this.nowNanos);
	}

	private Agent ownerOf(String key) {
		String name = PartitionRecord.name(POOL, IdempotencyKey.parse(key).orElseThrow().partition(PARTITIONS));
		String owner = this.store.peek(PartitionRecord.KIND, name)
			.flatMap((object) -> PartitionRecord.parse(object.value()))
			.map(PartitionRecord::owner)
			.orElse("");
		return this.agents.stream().filter((agent) -> agent.vm.equals(owner)).findAny().orElseGet(this::anyAgent);
	}

	static String key(long timeMs, long bits) {
		String time = String.format("%012x", timeMs);
		return time.substring(0, 8) + "-" + time.substring(8) + "-7"
				+ String.format("%03x-8%03x-%012x", bits >>> 52, (bits >>> 40) & 0xfff, bits & 0xffffffffffffL);
	}

	/** A caller that retries one key until it gets a definite outcome. */
	private final class Caller {

		private final String key;

		private final CallDigest digest = CallDigest.of("POST", "/charge", new byte[] { 1 });

		private int attempts;

		private boolean open;

		private boolean done;

		Caller() {
			long skew = ClaimSimulation.this.random.nextInt(20_000) - 10_000;
			this.key = key(nowMs() + skew, ClaimSimulation.this.random.nextLong());
		}

		void step() {
			if (this.open && !chance(0.02)) {
				return;
			}
			this.attempts++;
			int attempt = this.attempts;
			this.open = true;
			KeyedCall call = new KeyedCall(POOL, this.key, this.digest, attempt == 1);
			(chance(0.2) ? anyAgent() : ownerOf(this.key)).submit(call,
					(outcome, body) -> handleOutcome(attempt, outcome, body));
		}

		private void handleOutcome(int attempt, Outcome outcome, String body) {
			boolean firstAttemptAbandoned = attempt == 1 && this.attempts > 1;
			if (this.done || firstAttemptAbandoned) {
				return;
			}
			this.open = attempt != this.attempts && this.open;
			this.done = outcome != Outcome.UNKNOWN;
			ClaimSimulation.this.checker.recordOutcome(this.key, outcome, body);
		}

	}

	private interface OutcomeHandler {

		void handle(Outcome outcome, String body);

	}

	/**
	 * An agent with its backend server; their actions are queued and stop in a freeze.
	 */
	private final class Agent {

		private final String vm;

		private final String client;

		private final long incarnation = ++ClaimSimulation.this.incarnations;

		private final ClaimLedger ledger;

		private final List<Runnable> queue = new ArrayList<>();

		private int unanswered;

		private boolean frozen;

		private long skewMs;

		Agent(String vm) {
			this.vm = vm;
			this.client = vm + "#" + this.incarnation;
			FakeRecords records = FakeRecords.plain(POOL, PARTITIONS, RETENTION_MS, ClaimSimulation.this.store);
			this.ledger = new ClaimLedger(POOL, vm, this.incarnation, ClaimSimulation.this.store.client(this.client),
					records, () -> nowMs() + this.skewMs, () -> ClaimSimulation.this.nowNanos, SETTINGS,
					new MetricRegistry());
			this.ledger.ensurePartitionCount(PARTITIONS);
		}

		void step() {
			if (!this.frozen && !this.queue.isEmpty()) {
				this.queue.remove(ClaimSimulation.this.random.nextInt(this.queue.size())).run();
			}
		}

		void tick() {
			if (!this.frozen) {
				if (this.ledger.partitionCount() == 0) {
					this.ledger.ensurePartitionCount(PARTITIONS);
				}
				this.ledger.tick();
			}
		}

		void takeOver() {
			int count = this.ledger.states().size();
			if (this.frozen || count == 0) {
				return;
			}
			int number = ClaimSimulation.this.random.nextInt(count);
			for (int i = 0; i < (ClaimSimulation.this.faults ? 1 : count); i++) {
				int partition = (number + i) % count;
				PartitionRecord record = ClaimSimulation.this.store
					.peek(PartitionRecord.KIND, PartitionRecord.name(POOL, partition))
					.flatMap((object) -> PartitionRecord.parse(object.value()))
					.orElse(PartitionRecord.empty(count));
				this.ledger.takeOver(partition, record.owner(), record.incarnation());
			}
		}

		void submit(KeyedCall call, OutcomeHandler handler) {
			this.unanswered++;
			OutcomeHandler countingHandler = (outcome, body) -> {
				this.unanswered--;
				handler.handle(outcome, body);
			};
			this.queue.add(() -> arrived(call, countingHandler));
		}

		private void arrived(KeyedCall call, OutcomeHandler handler) {
			if (chance(0.15)) {
				Failure full = Failure.unknown(FailureCode.QUEUE_FULL, "queue full", 100);
				this.ledger.refuse(call, full)
					.thenAccept((failure) -> this.queue.add(() -> handler.handle(failure.outcome(), "")));
				return;
			}
			this.ledger.claim(call).thenAccept((decision) -> this.queue.add(() -> decided(call, decision, handler)));
		}

		private void decided(KeyedCall call, Decision decision, OutcomeHandler handler) {
			if (decision instanceof Decision.Run) {
				run(call, handler);
			}
			else if (decision instanceof Decision.Attach attach) {
				attach.end()
					.thenAccept((end) -> this.queue
						.add(() -> end.peek((answer) -> handler.handle(Outcome.ANSWERED, answer.body().toStringUtf8()))
							.peekLeft((failure) -> handler.handle(failure.outcome(), ""))));
			}
			else if (decision instanceof Decision.Replay replay) {
				handler.handle(Outcome.ANSWERED, replay.answer().body().toStringUtf8());
			}
			else if (decision instanceof Decision.Refuse refuse) {
				handler.handle(refuse.failure().outcome(), "");
			}
		}

		private void run(KeyedCall call, OutcomeHandler handler) {
			if (chance(0.1)) {
				this.ledger.failed(call, Outcome.NOT_RUN);
				handler.handle(Outcome.NOT_RUN, "");
				return;
			}
			Supplier<String> body = () -> this.client + " ran " + call.key() + " "
					+ ClaimSimulation.this.random.nextLong();
			String answer = body.get();
			ClaimSimulation.this.checker.recordExecution(call.key(), this.client);
			this.queue.add(() -> {
				if (chance(0.1)) {
					this.ledger.failed(call, Outcome.UNKNOWN);
					handler.handle(Outcome.UNKNOWN, "");
					return;
				}
				this.ledger.answered(call, new StoredAnswer(200, List.of(), ByteString.copyFromUtf8(answer)));
				handler.handle(Outcome.ANSWERED, answer);
			});
		}

	}

}

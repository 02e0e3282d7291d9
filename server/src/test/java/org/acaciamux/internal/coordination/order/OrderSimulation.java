package org.acaciamux.internal.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;

import org.acaciamux.internal.coordination.platform.FakeObjectStore;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.PrioritySpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Simulates five agents with real controllers and engines that ignore fencing numbers.
 * All choices come from a seed. Checks only what the engines see: the order of fencing
 * numbers and the number of concurrent loads.
 */
final class OrderSimulation {

	static final String POOL = "chat";

	static final OrderSettings SETTINGS = new OrderSettings(2, 2_000, 1_000, 0.2, 50, 400);

	private final TreeSet<String> violations = new TreeSet<>();

	private final FakeObjectStore store = new FakeObjectStore();

	private final List<Agent> agents = new ArrayList<>();

	private final List<Engine> engines = new ArrayList<>();

	private final Random random;

	private long nowNanos = TimeUnit.DAYS.toNanos(1);

	private long incarnations = 10;

	private int wanted = 1;

	private boolean faults = true;

	private boolean outage;

	private int loads;

	OrderSimulation(long seed) {
		this.random = new Random(seed);
		this.store.holdIf((call) -> true);
		for (int i = 0; i < 5; i++) {
			this.engines.add(new Engine());
			this.agents.add(new Agent(i));
		}
	}

	String run(int steps) {
		for (int i = 0; i < steps; i++) {
			step();
		}
		this.faults = false;
		this.agents.forEach((agent) -> agent.frozen = false);
		for (int i = 0; i < 20_000 && !settled(); i++) {
			step();
		}
		if (!settled()) {
			this.violations.add("engines did not get the wanted version " + this.wanted + ": " + this.engines);
		}
		return String.join("; ", this.violations);
	}

	int loads() {
		return this.loads;
	}

	private boolean settled() {
		return this.engines.stream().allMatch((engine) -> engine.version.equals("v" + this.wanted));
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private void step() {
		this.nowNanos += TimeUnit.MICROSECONDS.toNanos(this.random.nextInt(10_000));
		this.engines.forEach(Engine::step);
		Agent agent = this.agents.get(this.random.nextInt(this.agents.size()));
		double choice = this.random.nextDouble();
		if (choice < 0.45) {
			storeStep();
		}
		else if (choice < 0.99 || !this.faults) {
			agent.step();
		}
		else {
			fault(agent);
		}
	}

	private void fault(Agent agent) {
		double choice = this.random.nextDouble();
		if (choice < 0.4) {
			agent.frozen = !agent.frozen;
		}
		else if (choice < 0.55) {
			this.agents.set(agent.number, new Agent(agent.number));
		}
		else if (choice < 0.7) {
			this.outage = !this.outage;
		}
		else if (choice < 0.8) {
			this.engines.get(agent.number).version = "";
		}
		else {
			this.wanted++;
		}
	}

	private void storeStep() {
		List<FakeObjectStore.Call> held = this.store.held();
		if (held.isEmpty()) {
			return;
		}
		FakeObjectStore.Call call = held.get(this.random.nextInt(held.size()));
		boolean reachable = this.agents.stream()
			.anyMatch((agent) -> agent.client.equals(call.client()) && !agent.frozen);
		if (this.faults && chance(0.1)) {
			call.apply();
		}
		else if (call.isAnswered() || !reachable) {
			if (chance(0.05)) {
				call.drop();
			}
		}
		else if (this.faults && chance(0.05)) {
			call.loseAnswer();
		}
		else if (this.faults && this.outage) {
			call.refuse();
		}
		else {
			call.answer();
		}
	}

	private void checkLoads() {
		long loading = this.engines.stream().filter((engine) -> engine.loadEndsAt > 0).count();
		long serving = this.engines.stream().filter((engine) -> engine.loadEndsAt > 0 && engine.wasServing).count();
		if (loading > SETTINGS.slots()) {
			this.violations.add(loading + " loads at once");
		}
		if (serving > 1) {
			this.violations.add(serving + " members of the pool loaded at once although they could serve");
		}
	}

	/** A model engine that carries out every order. */
	private final class Engine {

		private String version = "";

		private boolean wasServing;

		private long highestFence;

		private long loadEndsAt;

		private BackendOrders.LoadOrder order;

		private CompletableFuture<BackendOrders.Result> answer;

		void accept(BackendOrders.LoadOrder next, CompletableFuture<BackendOrders.Result> result) {
			if (next.fence() <= this.highestFence) {
				OrderSimulation.this.violations.add("order " + next.fence() + " ran after " + this.highestFence);
			}
			if (this.loadEndsAt > 0) {
				OrderSimulation.this.violations.add("an order arrived during a load");
			}
			this.highestFence = next.fence();
			this.wasServing = !this.version.isEmpty();
			this.order = next;
			this.answer = result;
			this.loadEndsAt = OrderSimulation.this.nowNanos
					+ TimeUnit.MILLISECONDS.toNanos(OrderSimulation.this.random.nextLong(SETTINGS.loadMs()));
			OrderSimulation.this.loads++;
			checkLoads();
		}

		void step() {
			if (this.loadEndsAt > 0 && OrderSimulation.this.nowNanos >= this.loadEndsAt) {
				this.loadEndsAt = 0;
				boolean failed = OrderSimulation.this.faults && chance(0.1);
				this.version = failed ? this.version : this.order.version();
				this.answer.complete(failed ? BackendOrders.Result.FAILED : BackendOrders.Result.DONE);
			}
		}

		@Override
		public String toString() {
			return this.version;
		}

	}

	/** An agent process; what it sends and receives is queued and stops in a freeze. */
	private final class Agent implements BackendOrders, RecordView {

		private final int number;

		private final String client;

		private final OrderController controller;

		private final List<Runnable> queue = new ArrayList<>();

		private boolean frozen;

		Agent(int number) {
			this.number = number;
			long incarnation = ++OrderSimulation.this.incarnations;
			this.client = "a" + number + "#" + incarnation;
			this.controller = new OrderController(POOL, "r", "a" + number, incarnation,
					OrderSimulation.this.store.client(this.client), this, this, () -> 5,
					() -> OrderSimulation.this.nowNanos, new Random(incarnation), SETTINGS, new MetricRegistry());
		}

		void step() {
			if (this.frozen) {
				return;
			}
			if (this.queue.isEmpty() || chance(0.3)) {
				this.controller.tick();
				return;
			}
			this.queue.remove(OrderSimulation.this.random.nextInt(this.queue.size())).run();
		}

		@Override
		public CompletionStage<ServerState> describe() {
			CompletableFuture<ServerState> result = new CompletableFuture<>();
			Engine engine = OrderSimulation.this.engines.get(this.number);
			this.queue.add(() -> result
				.complete(new ServerState(Reachability.UP, engine.version, List.of(), engine.loadEndsAt > 0)));
			return result;
		}

		@Override
		public CompletionStage<Result> load(LoadOrder order, BooleanSupplier stillValid) {
			CompletableFuture<Result> result = new CompletableFuture<>();
			this.queue.add(() -> {
				if (!stillValid.getAsBoolean()) {
					result.complete(Result.NOT_SENT);
					return;
				}
				CompletableFuture<Result> answer = new CompletableFuture<>();
				boolean lost = OrderSimulation.this.faults && chance(0.2);
				answer.thenAccept((done) -> this.queue.add(() -> result.complete(lost ? Result.NO_ANSWER : done)));
				OrderSimulation.this.engines.get(this.number).accept(order, answer);
				if (lost) {
					this.queue.add(() -> result.complete(Result.NO_ANSWER));
				}
			});
			return result;
		}

		@Override
		public Optional<PoolSpec> pool(String name) {
			return Optional.of(new PoolSpec(POOL, true, true, 1.25, 0.5, 2, 64, 512, 30_000, 30_000, 16, 900_000, false,
					"v" + OrderSimulation.this.wanted, List.of()));
		}

		@Override
		public List<PoolSpec> pools() {
			return List.of();
		}

		@Override
		public OrganisationSpec organisation(String name) {
			return OrganisationSpec.defaults(name);
		}

		@Override
		public PrioritySpec priority(String name) {
			return PrioritySpec.defaults(name);
		}

		@Override
		public Optional<JsonNode> value(String kind, String name) {
			return Optional.empty();
		}

		@Override
		public long revision() {
			return 0;
		}

	}

}

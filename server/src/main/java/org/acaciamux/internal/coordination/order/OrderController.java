package org.acaciamux.internal.coordination.order;

import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.order.BackendOrders.LoadOrder;
import org.acaciamux.internal.coordination.order.BackendOrders.Reachability;
import org.acaciamux.internal.coordination.order.BackendOrders.Result;
import org.acaciamux.internal.coordination.order.BackendOrders.ServerState;
import org.acaciamux.internal.coordination.platform.GuardedStore;
import org.acaciamux.internal.coordination.platform.ObjectStore;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Keeps the model version and adapters of one backend server as the pool's record
 * specifies them. Invariants: one order is under way at a time; an order is sent only
 * with a valid slot and a higher fencing number than any earlier order; the slot is
 * released only when the server is known not to be loading, or after the longest duration
 * of a load. Thread-safe; {@link #tick()} is called about every 200 ms.
 */
public final class OrderController {

	/**
	 * First pause between attempts. Each pause doubles the next one, up to
	 * {@link OrderSettings#maxPauseMs()}, until an order is done. Also the delay before
	 * the first check of an order without an answer.
	 */
	private static final long FIRST_PAUSE_MS = 1_000;

	private final GuardedStore store;

	private final LoadSlots slots;

	private final BackendOrders backend;

	private final RecordView records;

	private final String pool;

	private final IntSupplier liveMembers;

	private final NanoClock clock;

	private final RandomGenerator random;

	private final OrderSettings settings;

	private final Counter sent;

	private final Counter failed;

	private Step step = Step.STARTING;

	private long nextStepAt;

	private long pauseMs = FIRST_PAUSE_MS;

	private long mayLoadSince;

	private boolean stopped;

	/**
	 * Create the controller of one backend server.
	 * @param pool the pool's name
	 * @param region the region
	 * @param vm the id of this VM
	 * @param incarnation the incarnation of this process
	 * @param store the object store
	 * @param backend the backend server
	 * @param records the records in force
	 * @param liveMembers the number of live members of the pool, including this one
	 * @param clock the monotonic clock
	 * @param random the source of random delays between attempts
	 * @param settings the settings
	 * @param metrics the metrics of the process
	 */
	public OrderController(String pool, String region, String vm, long incarnation, ObjectStore store,
			BackendOrders backend, RecordView records, IntSupplier liveMembers, NanoClock clock, RandomGenerator random,
			OrderSettings settings, MetricRegistry metrics) {
		this.store = new GuardedStore(store, LockRank.LEAF);
		this.slots = new LoadSlots(this.store, clock, region, vm, incarnation, settings);
		this.backend = backend;
		this.records = records;
		this.pool = pool;
		this.liveMembers = liveMembers;
		this.clock = clock;
		this.random = random;
		this.settings = settings;
		this.sent = metrics.counter("acaciamux.order.sent");
		this.failed = metrics.counter("acaciamux.order.failed");
		this.nextStepAt = clock.nanoTime();
	}

	/**
	 * Send no more orders; a held slot is still released.
	 */
	public void drain() {
		this.store.guarded(() -> this.stopped = true);
	}

	/**
	 * Run the next step if it is due.
	 */
	public void tick() {
		Optional<PoolSpec> spec = this.records.pool(this.pool)
			.filter((poolSpec) -> poolSpec.model() && !poolSpec.modelVersion().isEmpty());
		int members = this.liveMembers.getAsInt();
		this.store.guarded(() -> advance(spec, members));
	}

	private void advance(Optional<PoolSpec> spec, int members) {
		this.slots.tick();
		if (this.slots.busy() || this.step.awaitsResult || this.clock.nanoTime() - this.nextStepAt < 0) {
			return;
		}
		if (this.step == Step.STARTING) {
			this.slots.findEarlierSlot(this::earlierSlotChecked);
		}
		else if (this.step == Step.IDLE) {
			spec.filter((poolSpec) -> !this.stopped).ifPresent((poolSpec) -> compareWithRecord(poolSpec, members));
		}
		else if (this.step == Step.UNCERTAIN) {
			checkWhetherLoading();
		}
		else if (this.step == Step.RELEASING) {
			release();
		}
	}

	private void earlierSlotChecked(Optional<Boolean> earlierSlot) {
		if (earlierSlot.isEmpty()) {
			pause();
			return;
		}
		this.mayLoadSince = this.clock.nanoTime();
		enter(earlierSlot.get() ? Step.UNCERTAIN : Step.IDLE, 0);
	}

	private void compareWithRecord(PoolSpec spec, int members) {
		enter(Step.LOOKING, 0);
		describe((server) -> {
			if (server.reachability() != Reachability.UP || server.loading() || matches(server, spec)) {
				enter(Step.IDLE, this.settings.pollMs());
				return;
			}
			boolean serving = !server.version().isEmpty();
			this.slots.acquire(this.pool, serving, members, (held) -> acquireEnded(spec, held));
		});
	}

	private static boolean matches(ServerState server, PoolSpec spec) {
		return server.version().equals(spec.modelVersion())
				&& new HashSet<>(server.adapters()).equals(new HashSet<>(spec.adapters()));
	}

	private void acquireEnded(PoolSpec spec, boolean held) {
		if (!held) {
			enter(Step.IDLE, 0);
			pause();
			return;
		}
		LoadOrder order = new LoadOrder(this.slots.fence(), spec.modelVersion(), spec.adapters());
		enter(Step.ORDERED, 0);
		this.sent.inc();
		EventLog.log(OrderEvent.ORDER_SENT, order.fence(), order.version());
		this.store.afterwards(() -> this.backend.load(order, () -> this.slots.valid(order.fence()))
			.thenAccept((result) -> this.store.guarded(() -> orderEnded(order, result))));
	}

	private void orderEnded(LoadOrder order, Result result) {
		if (result == Result.DONE) {
			EventLog.log(OrderEvent.ORDER_DONE, order.fence());
			this.pauseMs = FIRST_PAUSE_MS;
			enter(Step.RELEASING, 0);
			return;
		}
		this.failed.inc();
		if (result == Result.NO_ANSWER) {
			EventLog.log(OrderEvent.ORDER_UNCERTAIN, order.fence());
			this.mayLoadSince = this.clock.nanoTime();
			enter(Step.UNCERTAIN, FIRST_PAUSE_MS);
			return;
		}
		if (result == Result.NOT_SENT && !this.slots.valid(order.fence())) {
			EventLog.log(OrderEvent.ORDER_ABANDONED, order.fence());
		}
		else {
			EventLog.log(OrderEvent.ORDER_FAILED, order.fence(), result, this.pauseMs);
		}
		enter(Step.RELEASING, 0);
	}

	/**
	 * Keep the slot until the server reports that it is not loading or refuses
	 * connections, or until the longest duration of a load has passed.
	 */
	private void checkWhetherLoading() {
		enter(Step.CHECKING, 0);
		describe((server) -> {
			boolean loadTimeOver = this.clock.nanoTime() - this.mayLoadSince > TimeUnit.MILLISECONDS
				.toNanos(this.settings.loadMs());
			boolean idle = server.reachability() == Reachability.DOWN
					|| (server.reachability() == Reachability.UP && !server.loading());
			if (idle || loadTimeOver) {
				enter(Step.RELEASING, 0);
				return;
			}
			enter(Step.UNCERTAIN, this.settings.pollMs());
			if (this.slots.held() && this.slots.renewalDue()) {
				this.slots.renew((ignored) -> {
				});
			}
		});
	}

	private void release() {
		this.slots.release((released) -> {
			if (released) {
				enter(Step.IDLE, 0);
			}
			pause();
		});
	}

	private void describe(Consumer<ServerState> callback) {
		this.store.afterwards(() -> this.backend.describe()
			.thenAccept((server) -> this.store.guarded(() -> callback.accept(server))));
	}

	private void enter(Step next, long delayMs) {
		this.step = next;
		this.nextStepAt = this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
	}

	private void pause() {
		long delay = this.pauseMs / 2 + this.random.nextLong(this.pauseMs);
		this.nextStepAt = this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delay);
		this.pauseMs = Math.min(this.settings.maxPauseMs(), this.pauseMs * 2);
	}

	/**
	 * Return whether the backend server is loading or about to load, so that it should
	 * get no new work.
	 * @return whether a slot is held
	 */
	public boolean loading() {
		return this.store.guarded(() -> this.slots.held());
	}

	/**
	 * Return the state for the dump of the process.
	 * @return a JSON object
	 */
	public ObjectNode dump() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		this.store.guarded(() -> {
			node.put("step", this.step.name());
			node.put("slotHeld", this.slots.held());
			node.put("fence", this.slots.fence());
		});
		return node;
	}

	/**
	 * Step of the controller.
	 */
	enum Step {

		/** Checks for a slot that an earlier process left behind. */
		STARTING(false),
		/** Nothing is under way. */
		IDLE(false),
		/** Compares the server with the pool's record and takes a slot. */
		LOOKING(true),
		/** An order is under way. */
		ORDERED(true),
		/** The server may be loading. */
		UNCERTAIN(false),
		/** Asks the server whether it is loading. */
		CHECKING(true),
		/** Releases the slot. */
		RELEASING(false);

		private final boolean awaitsResult;

		Step(boolean awaitsResult) {
			this.awaitsResult = awaitsResult;
		}

	}

}

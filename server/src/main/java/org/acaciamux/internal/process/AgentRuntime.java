package org.acaciamux.internal.process;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.internal.coordination.admission.AgentIdentity;
import org.acaciamux.internal.coordination.admission.AgentService;
import org.acaciamux.internal.coordination.admission.DrainProgress;
import org.acaciamux.internal.coordination.claim.ClaimLedger;
import org.acaciamux.internal.coordination.claim.ClaimSettings;
import org.acaciamux.internal.coordination.claim.FirstOwners;
import org.acaciamux.internal.coordination.claim.OwnershipSettings;
import org.acaciamux.internal.coordination.claim.PartitionOwnership;
import org.acaciamux.internal.coordination.membership.ExchangeSettings;
import org.acaciamux.internal.coordination.membership.LoadExchange;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.coordination.order.HttpBackendOrders;
import org.acaciamux.internal.coordination.order.OrderController;
import org.acaciamux.internal.coordination.order.OrderSettings;
import org.acaciamux.internal.coordination.quarantine.SuspectTable;
import org.acaciamux.internal.coordination.routing.RendezvousChooser;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.FleetReport;
import org.acaciamux.internal.protocol.wire.Frame.BodyCase;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.transport.http.BackendClient;
import org.acaciamux.internal.transport.http.BackendSettings;
import org.acaciamux.settings.AgentSettings;

/**
 * The agent role: runs requests on its backend server. Thread-safe.
 */
final class AgentRuntime implements RoleRuntime {

	private static final int LEDGER_TICK_MS = 20;

	private static final int IDLE_LEDGER_TICK_MS = 1_000;

	private static final int TICK_MS = 100;

	private static final long HANDOVER_TIMEOUT_MS = 5_000;

	/**
	 * Time in milliseconds in which routers learn that the agent leaves: the longest
	 * interval of their pool views and one exchange between agents. Until then their
	 * requests are refused as not run, while a closed port would leave them unknown.
	 */
	private static final long ANNOUNCE_MS = 2_700;

	/**
	 * Time in milliseconds that a drain without work leaves of its timeout; at most half
	 * of the timeout.
	 */
	private static final long ANNOUNCE_RESERVE_MS = 200;

	private static final long NOT_STARTED = -1;

	private final AtomicLong drainStartedMs = new AtomicLong(NOT_STARTED);

	private final AtomicLong handoverDeadlineMs = new AtomicLong(NOT_STARTED);

	private final ProcessCore core;

	private final ClaimLedger ledger;

	private final PartitionOwnership ownership;

	private final FirstOwners firstOwners;

	private final LoadExchange exchange;

	private final OrderController orders;

	private final HttpBackendOrders backendOrders;

	private final AgentService service;

	private final BackendClient backend;

	private final RendezvousChooser chooser = new RendezvousChooser();

	private final String pool;

	AgentRuntime(ProcessCore core, int peerPort) {
		this.core = core;
		AgentSettings settings = core.settings.agent().orElseThrow();
		this.pool = settings.pool();
		AgentIdentity identity = new AgentIdentity(core.settings.id(), this.pool, core.incarnation);
		this.backend = new BackendClient(core.group,
				BackendSettings.defaults(settings.backend().address(), settings.backend().port(), false),
				this::isModelEngine);
		SuspectTable suspects = new SuspectTable(core.settings.id(), this::designatedAgent);
		AgentService.Server server = new AgentService.Server(this.backend, this.backend,
				new ChatTransfers(core, this.chooser));
		this.ledger = new ClaimLedger(this.pool, core.settings.id(), core.incarnation, core.store, core.records,
				core.epochClock, core.clock, ClaimSettings.defaults(), core.registry);
		this.service = new AgentService(identity, core.records, this::poolLoad, server, Optional.of(this.ledger),
				suspects, core.clock, core.registry);
		this.exchange = new LoadExchange(core.self(peerPort), core.incarnation, ExchangeSettings.defaults(),
				this.service, core.members, core.exchangeParts());
		this.firstOwners = new FirstOwners(core.records, this.pool);
		this.ownership = new PartitionOwnership(this.pool, core.settings.id(), core.incarnation, this.ledger,
				core.records, core.members, () -> !this.service.backendDown(), core.clock, core.newRandom(),
				OwnershipSettings.defaults());
		OrderSettings orderSettings = OrderSettings.defaults();
		this.backendOrders = new HttpBackendOrders(core.group, settings.backend().toSocketAddress(),
				orderSettings.loadMs());
		this.orders = createOrders(core, orderSettings);
		suspects.onChange(this.exchange::soon);
		registerHandlers(core);
	}

	private OrderController createOrders(ProcessCore core, OrderSettings settings) {
		return new OrderController(this.pool, core.settings.region(), core.settings.id(), core.incarnation, core.store,
				this.backendOrders, core.records, () -> poolLoad().members(), core.clock, core.newRandom(), settings,
				core.registry);
	}

	private void registerHandlers(ProcessCore core) {
		core.dispatcher.add(this.exchange, BodyCase.LOAD_EXCHANGE, BodyCase.POOL_VIEW_REQUEST);
		core.dispatcher.add(this.service, BodyCase.SUBMIT, BodyCase.CREDIT, BodyCase.CANCEL, BodyCase.RESUME,
				BodyCase.RESOLVE, BodyCase.KV_OFFER);
		core.workers.every(this.service::tick, AgentService.TICK_MS);
		core.workers.schedule(this::tickLedger, LEDGER_TICK_MS);
		core.workers.every(this::tick, TICK_MS);
	}

	/**
	 * Ticks the claim ledger and schedules the next tick. Writes of claims need frequent
	 * ticks. A pool without keyed calls writes no claims, and 50 ticks a second would
	 * take about a sixth of its agents' CPU time.
	 */
	private void tickLedger() {
		boolean keyed = this.core.records.pool(this.pool).filter((spec) -> !spec.repeatable()).isPresent();
		this.core.workers.schedule(this::tickLedger, keyed ? LEDGER_TICK_MS : IDLE_LEDGER_TICK_MS);
		this.ledger.tick();
	}

	private void tick() {
		this.exchange.tick();
		this.ownership.tick();
		this.orders.tick();
		if (this.exchange.toldLeaving() && !this.service.leaving()) {
			EventLog.log(ProcessEvent.TOLD_LEAVING);
			beginDrain();
		}
	}

	private PoolLoad poolLoad() {
		return this.exchange.poolLoad();
	}

	private boolean isModelEngine() {
		return this.core.records.pool(this.pool).map(PoolSpec::model).orElse(false);
	}

	private Optional<String> designatedAgent(long fingerprint) {
		List<Member> agents = this.core.members.agents(this.pool)
			.stream()
			.filter((agent) -> !this.exchange.backendDown(agent.id()))
			.toList();
		return this.chooser.rank(this.pool, agents, Long.toHexString(fingerprint), 1)
			.stream()
			.map(Member::id)
			.findFirst();
	}

	@Override
	public int httpPort() {
		return 0;
	}

	@Override
	public Optional<String> notReadyReason() {
		if (this.core.records.pool(this.pool).isEmpty()) {
			return Optional.of("no record of pool " + this.pool + " is in force");
		}
		if (this.service.leaving()) {
			return Optional.of("the agent is leaving");
		}
		if (this.service.backendDown()) {
			return Optional.of("the backend server is down");
		}
		return this.firstOwners.missing()
			.map((partition) -> "partition " + partition + " of pool " + this.pool
					+ " has no owner yet, so calls with its idempotency keys cannot run");
	}

	@Override
	public void beginDrain() {
		this.drainStartedMs.compareAndSet(NOT_STARTED, this.core.nowMs());
		this.service.drain();
		this.exchange.soon();
		this.ownership.drain();
		this.orders.drain();
	}

	@Override
	public void refuseUnanswered() {
		this.service.refuseQueued();
	}

	@Override
	public List<String> waitingFor() {
		DrainProgress progress = this.service.drainProgress();
		boolean idle = progress.running() + progress.queued() + progress.unsent() + progress.transfers() == 0;
		if (progress.draining() && progress.done() && waitsForHandover()) {
			return List.of("partitions to be handed over");
		}
		if (progress.draining() && progress.done() && isAnnouncing()) {
			return List.of("routers to learn that the agent leaves");
		}
		if (progress.done() || (!progress.draining() && idle)) {
			return List.of();
		}
		return List.of(progress.running() + " running, " + progress.queued() + " queued, " + progress.unsent()
				+ " unsent, " + progress.transfers() + " cache transfers, oldest " + progress.oldestMs() + " ms");
	}

	private boolean isAnnouncing() {
		return this.core.nowMs() - this.drainStartedMs.get() < announceMs();
	}

	// A drain that only announces itself must not count as incomplete.
	private long announceMs() {
		long timeoutMs = this.core.settings.limits().drainTimeoutMs();
		return (timeoutMs > 0) ? Math.min(ANNOUNCE_MS, Math.max(timeoutMs - ANNOUNCE_RESERVE_MS, timeoutMs / 2))
				: ANNOUNCE_MS;
	}

	private boolean waitsForHandover() {
		// A handover only shortens the time in which a partition has no owner, and other
		// agents can safely take over without it. The wait is limited, so that an outage
		// of the platform does not prevent the process from ending.
		long now = this.core.nowMs();
		this.handoverDeadlineMs.compareAndSet(NOT_STARTED, now + HANDOVER_TIMEOUT_MS);
		return !this.ownership.drained() && now < this.handoverDeadlineMs.get();
	}

	@Override
	public FleetReport workReport() {
		return WorkReport.ofAgent(this.core, this.pool, this.service);
	}

	@Override
	public void dump(ObjectNode dump) {
		dump.set("agent", this.service.dump());
		dump.set("claims", this.ledger.dump());
		dump.set("partitionOwnership", this.ownership.dump());
		dump.set("loadExchange", this.exchange.dump());
		dump.set("orders", this.orders.dump());
	}

	@Override
	public void close() {
		this.backend.close();
		this.backendOrders.close();
	}

}

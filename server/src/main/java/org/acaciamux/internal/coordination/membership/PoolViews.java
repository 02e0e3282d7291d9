package org.acaciamux.internal.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.PeerLinks;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.MemberLoad;
import org.acaciamux.internal.protocol.wire.PoolView;
import org.acaciamux.internal.protocol.wire.PoolViewRequest;
import org.acaciamux.internal.state.SerialTasks;

/**
 * Requests the view of each pool that a router uses from one agent of the pool at a time.
 * Invariants: at most one request per pool is outstanding; an agent that does not answer
 * is reported as unreachable and another is asked at once; while no new view arrives, the
 * last one stays in use. Thread-safe; runs as serial tasks.
 */
public final class PoolViews implements FrameHandler {

	private static final int MAX_WAITING_FRAMES = 1_024;

	/** Time without a view of a pool after which this is logged. */
	private static final long REPORT_MISSING_AFTER_MS = 10_000;

	private final ExchangeSettings settings;

	private final MemberTable members;

	private final PeerLinks links;

	private final NanoClock clock;

	private final RandomGenerator random;

	private final SerialTasks tasks;

	private final ControlTraffic traffic;

	private final Counter received;

	private final Set<String> usedPools = ConcurrentHashMap.newKeySet();

	private final Map<String, ViewState> states = new HashMap<>();

	/**
	 * Create the views of a router. It does nothing until {@link #tick()} is called.
	 * @param settings times and bounds
	 * @param members the members as this process sees them
	 * @param parts the objects that it uses
	 */
	public PoolViews(ExchangeSettings settings, MemberTable members, ExchangeParts parts) {
		this.settings = settings;
		this.members = members;
		this.links = parts.links();
		this.clock = parts.clock();
		this.random = parts.random();
		this.tasks = new SerialTasks(parts.executor(), MAX_WAITING_FRAMES);
		this.traffic = new ControlTraffic(parts.metrics(), "acaciamux.membership.sentBytes");
		this.received = parts.metrics().counter("acaciamux.membership.views");
	}

	/**
	 * Request views of a pool from now on. Cheap; called with each request.
	 * @param pool the pool's name, which must be in force
	 */
	public void use(String pool) {
		this.usedPools.add(pool);
	}

	/**
	 * Send the requests that are due. Called about every 100 ms.
	 */
	public void tick() {
		this.tasks.offer(() -> this.usedPools.forEach((pool) -> step(pool, nowMs())));
	}

	private void step(String pool, long now) {
		ViewState state = this.states.computeIfAbsent(pool, (name) -> new ViewState(now));
		boolean silent = state.askedAgent != null && now - state.askedAtMs >= this.settings.viewTimeoutMs();
		if (silent) {
			this.members.unreachable(state.askedAgent);
			state.askedAgent = null;
			state.nextRequestMs = now;
		}
		if (now - state.lastViewMs >= REPORT_MISSING_AFTER_MS && !state.missingReported) {
			state.missingReported = true;
			EventLog.log(MembershipEvent.POOL_VIEW_MISSING, pool, now - state.lastViewMs);
		}
		if (state.askedAgent == null && now >= state.nextRequestMs) {
			request(pool, state, now);
		}
	}

	private void request(String pool, ViewState state, long now) {
		List<Member> agents = this.members.agents(pool);
		long intervalMs = (agents.size() > this.settings.entries()) ? this.settings.largeViewIntervalMs()
				: this.settings.viewIntervalMs();
		state.nextRequestMs = now + intervalMs * 3 / 4 + this.random.nextLong(intervalMs / 2 + 1);
		if (agents.isEmpty()) {
			return;
		}
		List<Member> usable = new ArrayList<>(agents);
		usable.removeIf((agent) -> !agent.state().acceptsWork());
		List<Member> candidates = usable.isEmpty() ? agents : usable;
		Member agent = candidates.get(this.random.nextInt(candidates.size()));
		state.askedAgent = agent.id();
		state.askedAtMs = now;
		Frame frame = Frame.newBuilder().setPoolViewRequest(PoolViewRequest.newBuilder().setPool(pool)).build();
		this.links.link(agent).thenAccept((link) -> this.tasks.post(() -> {
			if (link.isRight()) {
				this.traffic.send(link.get(), frame);
			}
			else if (agent.id().equals(state.askedAgent)) {
				this.members.unreachable(agent.id());
				state.askedAgent = null;
				state.nextRequestMs = nowMs() + this.random.nextLong(this.settings.viewTimeoutMs() / 2);
			}
		}));
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		if (frame.hasPoolView()) {
			this.tasks.offer(() -> receive(link, frame.getPoolView()));
		}
	}

	private void receive(PeerLink link, PoolView view) {
		ViewState state = this.states.get(view.getPool());
		if (state == null) {
			return;
		}
		long now = nowMs();
		if (link.peer().id().equals(state.askedAgent)) {
			state.askedAgent = null;
		}
		state.lastViewMs = now;
		state.missingReported = false;
		this.received.inc();
		this.members.viewReceived(view.getPool());
		for (MemberLoad load : view.getMembersList()) {
			PoolEvidence.apply(this.members, LoadEntry.of(load, now), now);
		}
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime());
	}

	/**
	 * Return the state for the admin port.
	 * @return the age of each pool's view in milliseconds
	 */
	public ObjectNode dump() {
		return this.tasks.get(() -> {
			ObjectNode dump = JsonNodeFactory.instance.objectNode();
			this.states.forEach((pool, state) -> dump.put(pool, nowMs() - state.lastViewMs));
			return dump;
		});
	}

	private static final class ViewState {

		private String askedAgent;

		private long askedAtMs;

		private long nextRequestMs;

		private long lastViewMs;

		private boolean missingReported;

		ViewState(long nowMs) {
			this.nextRequestMs = nowMs;
			this.lastViewMs = nowMs;
		}

	}

}

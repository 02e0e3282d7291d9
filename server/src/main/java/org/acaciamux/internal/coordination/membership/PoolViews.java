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
 * Takes a router's view of each pool that it uses from one agent of the pool at a time.
 * Invariants: at most one request per pool is outstanding; an agent that does not answer
 * is reported as unreachable and another is asked at once; without a view the last one
 * stays in use. Thread-safe; runs as serial tasks.
 */
public final class PoolViews implements FrameHandler {

	private static final int WAITING_FRAMES = 1_024;

	/** Time without a view after which this is reported. */
	private static final long MISSING_MS = 10_000;

	private final ExchangeSettings settings;

	private final MemberTable members;

	private final PeerLinks links;

	private final NanoClock clock;

	private final RandomGenerator random;

	private final SerialTasks tasks;

	private final ControlTraffic traffic;

	private final Counter received;

	private final Set<String> used = ConcurrentHashMap.newKeySet();

	private final Map<String, Pull> pulls = new HashMap<>();

	/**
	 * Create the views of a router. It does nothing until {@link #tick()} is called.
	 * @param settings times and bounds
	 * @param members the members as this process sees them
	 * @param parts what it works with
	 */
	public PoolViews(ExchangeSettings settings, MemberTable members, ExchangeParts parts) {
		this.settings = settings;
		this.members = members;
		this.links = parts.links();
		this.clock = parts.clock();
		this.random = parts.random();
		this.tasks = new SerialTasks(parts.executor(), WAITING_FRAMES);
		this.traffic = new ControlTraffic(parts.metrics(), "acaciamux.membership.sentBytes");
		this.received = parts.metrics().counter("acaciamux.membership.views");
	}

	/**
	 * Take views of a pool from now on. Cheap; called with each request.
	 * @param pool the pool's name, which must be in force
	 */
	public void use(String pool) {
		this.used.add(pool);
	}

	/**
	 * Move on with time. Called about every 100 ms.
	 */
	public void tick() {
		this.tasks.offer(() -> this.used.forEach((pool) -> step(pool, nowMs())));
	}

	private void step(String pool, long now) {
		Pull pull = this.pulls.computeIfAbsent(pool, (name) -> new Pull(now));
		boolean silent = pull.asked != null && now - pull.askedAtMs >= this.settings.viewTimeoutMs();
		if (silent) {
			this.members.unreachable(pull.asked);
			pull.asked = null;
			pull.nextMs = now;
		}
		if (now - pull.viewAtMs >= MISSING_MS && !pull.reported) {
			pull.reported = true;
			EventLog.log(MembershipEvent.POOL_VIEW_MISSING, pool, now - pull.viewAtMs);
		}
		if (pull.asked == null && now >= pull.nextMs) {
			ask(pool, pull, now);
		}
	}

	private void ask(String pool, Pull pull, long now) {
		List<Member> agents = this.members.agents(pool);
		long intervalMs = (agents.size() > this.settings.entries()) ? this.settings.largeViewIntervalMs()
				: this.settings.viewIntervalMs();
		pull.nextMs = now + intervalMs * 3 / 4 + this.random.nextLong(intervalMs / 2 + 1);
		if (agents.isEmpty()) {
			return;
		}
		List<Member> usable = new ArrayList<>(agents);
		usable.removeIf((agent) -> !agent.state().acceptsWork());
		List<Member> choice = usable.isEmpty() ? agents : usable;
		Member agent = choice.get(this.random.nextInt(choice.size()));
		pull.asked = agent.id();
		pull.askedAtMs = now;
		Frame frame = Frame.newBuilder().setPoolViewRequest(PoolViewRequest.newBuilder().setPool(pool)).build();
		this.links.link(agent).thenAccept((link) -> this.tasks.post(() -> {
			if (link.isRight()) {
				this.traffic.send(link.get(), frame);
			}
			else if (agent.id().equals(pull.asked)) {
				this.members.unreachable(agent.id());
				pull.asked = null;
				pull.nextMs = nowMs() + this.random.nextLong(this.settings.viewTimeoutMs() / 2);
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
		Pull pull = this.pulls.get(view.getPool());
		if (pull == null) {
			return;
		}
		long now = nowMs();
		if (link.peer().id().equals(pull.asked)) {
			pull.asked = null;
		}
		pull.viewAtMs = now;
		pull.reported = false;
		this.received.inc();
		this.members.observed(view.getPool());
		for (MemberLoad told : view.getMembersList()) {
			PoolEvidence.give(this.members, LoadEntry.of(told, now), now);
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
			this.pulls.forEach((pool, pull) -> dump.put(pool, nowMs() - pull.viewAtMs));
			return dump;
		});
	}

	private static final class Pull {

		private String asked;

		private long askedAtMs;

		private long nextMs;

		private long viewAtMs;

		private boolean reported;

		Pull(long nowMs) {
			this.nextMs = nowMs;
			this.viewAtMs = nowMs;
		}

	}

}

package org.acaciamux.internal.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
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
import org.acaciamux.internal.state.SerialTasks;

/**
 * Exchanges loads, heartbeats and crash suspects between the agents of a pool, and sends
 * the view of the pool to routers. Invariants: a message holds at most the configured
 * number of entries, so the traffic of an agent does not depend on the pool's size; any
 * agent that knows of a leaving agent passes this on, and within an incarnation leaving
 * is final; entries of agents that are gone from the member table are dropped.
 * <p>
 * Thread-safe. {@link #poolLoad()} takes no lock, so that admission may call it while it
 * holds its own; the rest runs as serial tasks.
 */
public final class LoadExchange implements FrameHandler, PoolLoadView {

	private static final int MAX_WAITING_FRAMES = 1_024;

	private final Member self;

	private final long incarnation;

	private final ExchangeSettings settings;

	private final LocalAgentState own;

	private final MemberTable members;

	private final PeerLinks links;

	private final NanoClock clock;

	private final RandomGenerator random;

	private final SerialTasks tasks;

	private final ControlTraffic traffic;

	private final Map<String, LoadEntry> entries = new ConcurrentHashMap<>();

	private volatile boolean toldLeaving;

	private long heartbeat;

	private long nextExchangeMs;

	/**
	 * Create the exchange of an agent. It does nothing until {@link #tick()} is called.
	 * @param self this agent
	 * @param incarnation the incarnation of this process
	 * @param settings times and bounds
	 * @param own the source of the load and state of this agent
	 * @param members the members as this process sees them
	 * @param parts the objects that it uses
	 */
	public LoadExchange(Member self, long incarnation, ExchangeSettings settings, LocalAgentState own,
			MemberTable members, ExchangeParts parts) {
		this.self = self;
		this.incarnation = incarnation;
		this.settings = settings;
		this.own = own;
		this.members = members;
		this.links = parts.links();
		this.clock = parts.clock();
		this.random = parts.random();
		this.tasks = new SerialTasks(parts.executor(), MAX_WAITING_FRAMES);
		this.traffic = new ControlTraffic(parts.metrics(), "acaciamux.membership.sentBytes");
		registerMetrics(parts.metrics());
	}

	private void registerMetrics(MetricRegistry metrics) {
		metrics.gauge("acaciamux.membership.exchange.entries", () -> (Gauge<Integer>) this.entries::size);
		metrics.gauge("acaciamux.membership.exchange.othersLoad", () -> (Gauge<Integer>) () -> poolLoad().othersLoad());
	}

	/**
	 * Start an exchange if one is due. Called about every 100 ms.
	 */
	public void tick() {
		this.tasks.offer(this::step);
	}

	private void step() {
		long now = nowMs();
		if (now < this.nextExchangeMs) {
			return;
		}
		this.nextExchangeMs = now + this.settings.intervalMs() * 9 / 10
				+ this.random.nextLong(this.settings.intervalMs() / 5);
		this.entries.keySet().removeIf((id) -> this.members.find(id).isEmpty());
		updateOwnEntry(now);
		Frame frame = Frame.newBuilder()
			.setLoadExchange(org.acaciamux.internal.protocol.wire.LoadExchange.newBuilder()
				.setPool(this.self.pool())
				.addAllMembers(newestEntries(now))
				.addAllSuspects(this.own.suspects()))
			.build();
		randomPeers().forEach((peer) -> send(peer, frame));
	}

	private void updateOwnEntry(long now) {
		this.heartbeat++;
		boolean leaving = this.own.leaving() || toldLeaving();
		if (leaving) {
			this.members.leaving(this.self.id());
		}
		int flags = (leaving ? LoadEntry.LEAVING : 0) | (this.own.backendDown() ? LoadEntry.BACKEND_DOWN : 0);
		this.entries.put(this.self.id(), new LoadEntry(this.self.id(), this.incarnation, this.heartbeat,
				this.own.load(), this.own.queued(), flags, now, List.of()));
	}

	private List<MemberLoad> newestEntries(long now) {
		return this.entries.values()
			.stream()
			.filter((entry) -> now - entry.heardAtMs() < this.settings.forwardMaxAgeMs())
			.sorted(Comparator.comparingLong(LoadEntry::heardAtMs).reversed())
			.limit(this.settings.entries())
			.map((entry) -> withKnownLeaving(entry).toFrame(now))
			.toList();
	}

	// Only some agents may have received the VM list that marks another agent as leaving.
	private LoadEntry withKnownLeaving(LoadEntry entry) {
		return isLeaving(entry.id()) ? entry.withFlag(LoadEntry.LEAVING) : entry;
	}

	private List<Member> randomPeers() {
		List<Member> others = new ArrayList<>(this.members.agents(this.self.pool()));
		others.removeIf((member) -> member.id().equals(this.self.id()));
		Collections.shuffle(others, new Random(this.random.nextLong()));
		return others.subList(0, Math.min(this.settings.peers(), others.size()));
	}

	private void send(Member peer, Frame frame) {
		this.links.link(peer).thenAccept((link) -> this.tasks.post(() -> {
			if (link.isLeft()) {
				this.members.unreachable(peer.id());
			}
			else if (link.get().isOpen() && link.get().isWritable()) {
				this.traffic.send(link.get(), frame);
			}
		}));
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		if (frame.hasLoadExchange()) {
			this.tasks.offer(() -> receive(link, frame.getLoadExchange()));
		}
		else if (frame.hasPoolViewRequest()) {
			this.tasks.offer(() -> sendPoolView(link, frame.getPoolViewRequest().getPool()));
		}
	}

	private void receive(PeerLink link, org.acaciamux.internal.protocol.wire.LoadExchange message) {
		if (!message.getPool().equals(this.self.pool())) {
			EventLog.log(MembershipEvent.WRONG_POOL, link.peer().id(), message.getPool(), this.self.pool());
			return;
		}
		long now = nowMs();
		this.members.viewReceived(this.self.pool());
		for (MemberLoad received : message.getMembersList()) {
			LoadEntry entry = LoadEntry.of(received, now);
			if (entry.id().equals(this.self.id())) {
				receiveOwnEntry(link, entry);
			}
			else {
				receiveEntry(entry, now);
			}
		}
		this.own.mergeSuspects(message.getSuspectsList());
	}

	private void receiveEntry(LoadEntry received, long now) {
		if (this.members.find(received.id()).isEmpty()) {
			PoolEvidence.apply(this.members, received, now);
			return;
		}
		LoadEntry held = this.entries.get(received.id());
		LoadEntry merged = (held != null) ? held.merge(received) : received;
		if (merged != held) {
			this.entries.put(received.id(), merged);
			PoolEvidence.apply(this.members, merged, now);
		}
	}

	private void receiveOwnEntry(PeerLink link, LoadEntry entry) {
		boolean toldNow = entry.incarnation() == this.incarnation && entry.hasFlag(LoadEntry.LEAVING)
				&& !this.own.leaving();
		if (toldNow && !this.toldLeaving) {
			this.toldLeaving = true;
			EventLog.log(MembershipEvent.TOLD_LEAVING, link.peer().id());
		}
	}

	/**
	 * Return whether this agent leaves according to the VM list or to another agent. The
	 * latter matters if only the other agent could read the VM list.
	 * @return whether this agent should drain
	 */
	public boolean toldLeaving() {
		return this.toldLeaving || isLeaving(this.self.id());
	}

	private boolean isLeaving(String id) {
		return this.members.find(id).filter((member) -> member.state() == MemberState.LEAVING).isPresent();
	}

	private void sendPoolView(PeerLink link, String pool) {
		if (!pool.equals(this.self.pool())) {
			return;
		}
		long now = nowMs();
		updateOwnEntry(now);
		PoolView.Builder view = PoolView.newBuilder().setPool(pool);
		this.entries.values().forEach((entry) -> view.addMembers(withKnownLeaving(entry).toFrame(now)));
		this.traffic.send(link, Frame.newBuilder().setPoolView(view).build());
	}

	/**
	 * Exchange at the next tick instead of waiting for the interval. Used for urgent
	 * information, such as a crash suspect, that protects other agents.
	 */
	public void soon() {
		this.tasks.post(() -> this.nextExchangeMs = Long.MIN_VALUE / 2);
	}

	/**
	 * Return whether the backend server of an agent is down according to the agent.
	 * @param id the id of the agent's VM
	 * @return whether the server is down; false if nothing is known about the agent
	 */
	public boolean backendDown(String id) {
		LoadEntry entry = this.entries.get(id);
		return entry != null && entry.hasFlag(LoadEntry.BACKEND_DOWN);
	}

	/**
	 * Return the load of the pool. Suspect members do not count, so that the loss of a
	 * failure domain does not lower the load bound of the others. But when more than half
	 * of the others are suspect, this agent may itself be cut off, so all members count.
	 */
	@Override
	public PoolLoad poolLoad() {
		long now = nowMs();
		int live = 0;
		int suspect = 0;
		int load = 0;
		int healthy = 0;
		for (Member member : this.members.agents(this.self.pool())) {
			LoadEntry entry = this.entries.get(member.id());
			boolean leaving = member.state() == MemberState.LEAVING
					|| (entry != null && entry.hasFlag(LoadEntry.LEAVING));
			if (member.id().equals(this.self.id()) || leaving) {
				continue;
			}
			boolean fresh = entry != null && now - entry.heardAtMs() < this.settings.loadMaxAgeMs();
			if (member.state() == MemberState.SUSPECT && !fresh) {
				suspect++;
				continue;
			}
			live++;
			load += fresh ? entry.load() : 0;
			boolean up = fresh && member.state() == MemberState.LIVE && !entry.hasFlag(LoadEntry.BACKEND_DOWN);
			healthy += up ? 1 : 0;
		}
		int counted = (suspect > live) ? live + suspect : live;
		return new PoolLoad(counted + 1, load, healthy);
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime());
	}

	/**
	 * Return the state for the admin port.
	 * @return the entries by agent
	 */
	public ObjectNode dump() {
		long now = nowMs();
		ObjectNode dump = JsonNodeFactory.instance.objectNode().put("toldLeaving", this.toldLeaving);
		ObjectNode all = dump.putObject("entries");
		new TreeMap<>(this.entries).forEach((id, entry) -> all.putObject(id)
			.put("load", entry.load())
			.put("queued", entry.queued())
			.put("flags", entry.flags())
			.put("ageMs", now - entry.heardAtMs()));
		return dump;
	}

}

package org.acaciamux.internal.coordination.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.platform.VmDirectory.VmEntry;
import org.acaciamux.internal.coordination.platform.VmDirectory.VmList;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * The members of the fleet as this process sees them, derived from the VM list,
 * heartbeats and connections, all of which may be out of date. Invariants: leaving wins
 * over all other evidence about the same incarnation; a member that was lost repeatedly
 * is held out for a growing, bounded time; while the own network is lost, no member
 * becomes suspect or gone; the number of members is bounded by the VM list, and the
 * history of past members by {@link MembershipSettings#pastMembers()}.
 * <p>
 * Thread-safe. Reads take no lock; changes take the lock of rank
 * {@link LockRank#MEMBER_TABLE}.
 */
public final class MemberTable implements MembershipView, MembershipEvidence {

	/**
	 * Shortest time between two evaluations of the own network on the loss of a member;
	 * each evaluation visits all agents.
	 */
	private static final long MIN_EVALUATION_INTERVAL_MS = 50;

	private final RankedLock lock = new RankedLock(LockRank.MEMBER_TABLE);

	private final String self;

	private final MembershipSettings settings;

	private final NanoClock clock;

	private final LossHistory history;

	private final Map<String, MemberHealth> health = new HashMap<>();

	private final Map<String, Long> revisions = new HashMap<>();

	private final Map<String, Long> lastViewAtMs = new HashMap<>();

	private final MemberIndex index = new MemberIndex();

	private final Counter losses;

	private final OwnNetwork network;

	private long evaluatedAtMs = MemberHealth.NEVER;

	/**
	 * Create an empty table.
	 * @param self the id of this process's VM
	 * @param settings times and bounds
	 * @param clock the monotonic clock
	 * @param metrics the registry for the metrics
	 */
	public MemberTable(String self, MembershipSettings settings, NanoClock clock, MetricRegistry metrics) {
		this.self = self;
		this.settings = settings;
		this.clock = clock;
		this.history = new LossHistory(settings);
		this.network = new OwnNetwork(settings);
		this.losses = metrics.counter("acaciamux.membership.losses");
		for (MemberState state : MemberState.values()) {
			String name = "acaciamux.membership.members." + state.name().toLowerCase(Locale.ROOT);
			metrics.gauge(name, () -> (Gauge<Integer>) () -> this.index.count(state));
		}
		metrics.gauge("acaciamux.membership.ownNetworkLost", () -> (Gauge<Integer>) () -> this.network.lost() ? 1 : 0);
		metrics.gauge("acaciamux.membership.pastMembers",
				() -> (Gauge<Integer>) () -> this.lock.get(this.history::size));
	}

	/**
	 * Apply the VM list of a region, unless it is older than the one held.
	 * @param region the region, or {@code all} for the whole fleet
	 * @param list the list
	 */
	public void vmList(String region, VmList list) {
		this.lock.run(() -> {
			long held = this.revisions.getOrDefault(region, -1L);
			if (list.revision() < held) {
				EventLog.log(MembershipEvent.VM_LIST_OLD, region, list.revision(), held);
				return;
			}
			this.revisions.put(region, list.revision());
			applyVmList(region, list.vms());
		});
	}

	private void applyVmList(String region, List<VmEntry> vms) {
		long now = now();
		Set<String> listed = new HashSet<>();
		for (VmEntry vm : vms) {
			listed.add(vm.id());
			MemberHealth known = this.health.computeIfAbsent(vm.id(), (id) -> new MemberHealth(vm, now));
			known.markListed(vm);
			if (vm.id().equals(this.self)) {
				known.enter(MemberState.LIVE, now);
			}
			update(known, now);
		}
		this.health.values()
			.stream()
			.filter((known) -> "all".equals(region) || known.vm().region().equals(region))
			.filter((known) -> !listed.contains(known.vm().id()))
			.forEach(MemberHealth::markUnlisted);
		rebuildIndex();
	}

	private void rebuildIndex() {
		this.index.rebuild(new TreeMap<>(this.health).values().stream().map(MemberHealth::vm).toList());
	}

	@Override
	public void heardFrom(String id, long incarnation) {
		heardFrom(id, incarnation, 0);
	}

	/**
	 * Note that a member was heard from some time ago, directly or through others.
	 * @param id the VM's id
	 * @param incarnation the incarnation of its process
	 * @param ageMs how long ago, in milliseconds, at least 0
	 */
	public void heardFrom(String id, long incarnation, long ageMs) {
		withMember(id, (known, now) -> {
			if (known.heard(incarnation, now - ageMs) && ageMs < this.settings.suspectAfterMs()) {
				revive(known, now);
			}
		});
	}

	private void revive(MemberHealth known, long now) {
		boolean heardAfterLoss = known.heardAtMs() > known.lostAtMs();
		boolean canRevive = known.state() != MemberState.LIVE && known.state() != MemberState.LEAVING;
		if (canRevive && heardAfterLoss && !this.history.heldOut(known.vm().id(), now)) {
			enter(known, MemberState.LIVE, now);
		}
	}

	@Override
	public void loadReported(String id, int load) {
		withMember(id, (known, now) -> known.setLoad(load));
	}

	@Override
	public void unreachable(String id) {
		withMember(id, (known, now) -> markLost(known, now));
	}

	private void markLost(MemberHealth known, long now) {
		if (known.vm().id().equals(this.self)) {
			return;
		}
		known.markLost(now);
		if (now - this.evaluatedAtMs >= MIN_EVALUATION_INTERVAL_MS) {
			evaluateOwnNetwork(now);
		}
		boolean usable = known.state() == MemberState.LIVE || known.state() == MemberState.JOINING;
		if (this.network.lost() || !usable) {
			return;
		}
		if (known.state() == MemberState.LIVE) {
			recordLoss(known.vm().id(), now);
		}
		enter(known, MemberState.SUSPECT, now);
	}

	private void recordLoss(String id, long now) {
		this.losses.inc();
		int count = this.history.recordLoss(id, now);
		if (count > 1) {
			EventLog.log(MembershipEvent.MEMBER_HELD_OUT, id, count, this.history.holdMs(count));
		}
	}

	@Override
	public void leaving(String id) {
		withMember(id, (known, now) -> known.reportLeaving());
	}

	/**
	 * Note that one incarnation of a member leaves; other incarnations are not affected.
	 * @param id the VM's id
	 * @param incarnation the incarnation of its process
	 */
	public void leaving(String id, long incarnation) {
		withMember(id, (known, now) -> {
			if (known.incarnation() == incarnation) {
				known.reportLeaving();
			}
		});
	}

	/**
	 * Note that a view of a pool was received from another process, so that members with
	 * old heartbeats may be suspected. Without a view no member is suspected for silence.
	 * @param pool the pool's name
	 */
	public void viewReceived(String pool) {
		this.lock.run(() -> this.lastViewAtMs.put(pool, now()));
	}

	/**
	 * Make the changes of state that are due. Called about every 500 ms.
	 */
	public void tick() {
		this.lock.run(() -> {
			long now = now();
			int sizeBefore = this.health.size();
			for (MemberHealth known : List.copyOf(this.health.values())) {
				if (!known.vm().id().equals(this.self)) {
					advance(known, now);
				}
			}
			evaluateOwnNetwork(now);
			if (this.health.size() != sizeBefore) {
				rebuildIndex();
			}
		});
	}

	private void advance(MemberHealth known, long now) {
		boolean silent = isSilent(known);
		if (silent && known.state() == MemberState.LIVE) {
			markLost(known, now);
		}
		if (this.network.lost()) {
			return;
		}
		if (!known.listed() && now - known.lastEvidenceMs() >= this.settings.unlistedAfterMs()) {
			remove(known, now);
			return;
		}
		if (known.state() == MemberState.SUSPECT) {
			advanceSuspect(known, silent, now);
		}
		boolean neverHeard = known.state() == MemberState.JOINING && silent;
		if (neverHeard && now - known.sinceMs() >= this.settings.goneAfterMs()) {
			enter(known, MemberState.GONE, now);
		}
		if (known.state() == MemberState.LEAVING && !known.leaving()) {
			enter(known, MemberState.JOINING, now);
		}
	}

	private void advanceSuspect(MemberHealth known, boolean silent, long now) {
		long inState = now - known.sinceMs();
		boolean heldOut = this.history.heldOut(known.vm().id(), now);
		if (silent && inState >= this.settings.goneAfterMs()) {
			enter(known, MemberState.GONE, now);
		}
		else if (!silent && !heldOut && known.heardAtMs() > known.lostAtMs()) {
			enter(known, MemberState.LIVE, now);
		}
		else if (!silent && !heldOut && inState >= this.settings.retryAfterMs()) {
			enter(known, MemberState.JOINING, now);
		}
	}

	// Compares with the time of the last view, not with the present: a process that
	// receives nothing learns nothing about the others.
	private boolean isSilent(MemberHealth known) {
		Long lastView = this.lastViewAtMs.get(known.vm().pool());
		return lastView != null && lastView - known.lastEvidenceMs() > this.settings.suspectAfterMs();
	}

	private void remove(MemberHealth known, long now) {
		enter(known, MemberState.GONE, now);
		this.health.remove(known.vm().id());
		this.index.remove(known.vm().id());
	}

	private void evaluateOwnNetwork(long now) {
		this.evaluatedAtMs = now;
		Collection<MemberHealth> agents = this.health.values()
			.stream()
			.filter((known) -> Member.AGENT.equals(known.vm().role()) && !known.vm().id().equals(this.self))
			.toList();
		switch (this.network.evaluate(agents, now)) {
			case LOST -> agents.forEach((agent) -> revertSuspicion(agent, now));
			case BACK -> agents.forEach((agent) -> agent.discardLoss(now));
			case OTHERS_FAILED -> agents.stream()
				.filter((agent) -> agent.lostWhileInUse(now - this.settings.lossWindowMs()))
				.forEach((agent) -> enter(agent, MemberState.SUSPECT, now));
			default -> {
			}
		}
	}

	private void revertSuspicion(MemberHealth agent, long now) {
		boolean fresh = now - agent.sinceMs() <= this.settings.lossWindowMs();
		if (agent.state() == MemberState.SUSPECT && fresh) {
			this.history.removeLastLoss(agent.vm().id());
			enter(agent, agent.beforeLoss(), now);
		}
	}

	private void update(MemberHealth known, long now) {
		if (known.leaving() && known.state() != MemberState.LEAVING && known.state() != MemberState.GONE) {
			enter(known, MemberState.LEAVING, now);
		}
		this.index.put(known.toMember());
	}

	private void enter(MemberHealth known, MemberState state, long now) {
		if (known.state() != state) {
			EventLog.log(MembershipEvent.MEMBER_STATE, known.vm().id(), known.state(), state);
			known.enter(state, now);
		}
		update(known, now);
	}

	private void withMember(String id, Change change) {
		this.lock.run(() -> {
			MemberHealth known = this.health.get(id);
			if (known != null) {
				long now = now();
				change.apply(known, now);
				update(known, now);
			}
		});
	}

	@Override
	public List<Member> agents(String pool) {
		return this.index.agents(pool);
	}

	@Override
	public List<Member> routers() {
		return this.index.routers();
	}

	/**
	 * List all members except those that are gone.
	 * @return the members ordered by id
	 */
	public List<Member> all() {
		return this.index.all();
	}

	@Override
	public Optional<Member> find(String id) {
		return this.index.find(id);
	}

	@Override
	public boolean ownNetworkLost() {
		return this.network.lost();
	}

	private long now() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime());
	}

	/**
	 * Return the state for the admin port.
	 * @return the members with their states and loads
	 */
	public ObjectNode dump() {
		ObjectNode dump = JsonNodeFactory.instance.objectNode();
		dump.put("ownNetworkLost", this.network.lost());
		dump.set("members", this.index.dump());
		return dump;
	}

	/**
	 * Change of the evidence about a member.
	 */
	private interface Change {

		void apply(MemberHealth known, long nowMs);

	}

}

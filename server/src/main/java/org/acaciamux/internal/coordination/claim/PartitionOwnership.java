package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.claim.ClaimPartition.State;
import org.acaciamux.internal.coordination.membership.Member;
import org.acaciamux.internal.coordination.membership.MemberState;
import org.acaciamux.internal.coordination.membership.MembershipView;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Decides which partitions this agent takes and gives up. An agent takes a partition that
 * nobody owns, or whose owner has been missing for a while, after a delay that grows with
 * its rank; it gives one up in order when it leaves, when its backend server is unfit, or
 * when an agent of a higher rank has been stable for a while. Membership decides only
 * when to act: a wrong view costs a move, never a second run. Thread-safe;
 * {@link #tick()} is called about every 100 ms.
 */
public final class PartitionOwnership {

	private static final int MAX_HOLD_DOUBLINGS = 6;

	private static final int DOUBLINGS_PER_RETURN = 2;

	private static final long RETRY_MS = 500;

	private final String vm;

	private final long incarnation;

	private final String pool;

	private final ClaimLedger ledger;

	private final RecordView records;

	private final MembershipView members;

	private final BooleanSupplier fit;

	private final NanoClock clock;

	private final RandomGenerator random;

	private final OwnershipSettings settings;

	private final Map<Integer, Orphan> orphans = new HashMap<>();

	private final Map<Integer, Long> heldSince = new HashMap<>();

	private final Map<Integer, Integer> returns = new HashMap<>();

	private final Set<Integer> moved = new HashSet<>();

	private final Map<String, Long> liveSince = new HashMap<>();

	private final Map<Integer, Long> retryAt = new HashMap<>();

	private boolean draining;

	/**
	 * Create the decision for one agent.
	 * @param pool the pool's name
	 * @param vm the id of this VM
	 * @param incarnation the incarnation of this process, the same as the ledger's
	 * @param ledger the ledger
	 * @param records the records in force
	 * @param members the fleet
	 * @param fit whether the backend server can run calls
	 * @param clock the monotonic clock
	 * @param random spreads retries
	 * @param settings the settings
	 */
	public PartitionOwnership(String pool, String vm, long incarnation, ClaimLedger ledger, RecordView records,
			MembershipView members, BooleanSupplier fit, NanoClock clock, RandomGenerator random,
			OwnershipSettings settings) {
		this.pool = pool;
		this.vm = vm;
		this.incarnation = incarnation;
		this.ledger = ledger;
		this.records = records;
		this.members = members;
		this.fit = fit;
		this.clock = clock;
		this.random = random;
		this.settings = settings;
	}

	/**
	 * Give all partitions up and take no more.
	 */
	public synchronized void drain() {
		this.draining = true;
	}

	/**
	 * Return whether a drain is complete.
	 * @return whether no partition is owned, taken or being given up
	 */
	public boolean drained() {
		return this.ledger.states().stream().allMatch((state) -> state == State.IDLE);
	}

	/**
	 * Take and give up partitions as needed.
	 */
	public synchronized void tick() {
		Optional<PoolSpec> spec = this.records.pool(this.pool).filter((found) -> !found.repeatable());
		Map<String, MemberState> agents = agents();
		noteLive(agents);
		boolean leaving = agents.get(this.vm) == MemberState.LEAVING;
		boolean willing = !this.draining && !leaving && this.fit.getAsBoolean();
		if (this.members.ownNetworkLost()) {
			this.orphans.clear();
			return;
		}
		List<String> eligible = eligible(willing);
		List<State> states = this.ledger.states();
		noteHeld(states);
		if (spec.isPresent() && willing && states.isEmpty()) {
			establish(spec.get(), eligible);
		}
		int moving = (int) states.stream().filter((state) -> state != State.IDLE && state != State.OWNED).count();
		for (int number = 0; number < states.size() && moving < this.settings.concurrentTakes(); number++) {
			boolean acted = (states.get(number) == State.IDLE)
					? spec.isPresent() && willing && takeIfDue(number, agents, eligible)
					: releaseIfDue(number, states.get(number), eligible, willing);
			moving += acted ? 1 : 0;
		}
	}

	private Map<String, MemberState> agents() {
		Map<String, MemberState> agents = new HashMap<>();
		for (Member agent : this.members.agents(this.pool)) {
			agents.put(agent.id(), agent.state());
		}
		return agents;
	}

	private void noteLive(Map<String, MemberState> agents) {
		this.liveSince.keySet().removeIf((id) -> agents.get(id) != MemberState.LIVE);
		agents.forEach((id, state) -> {
			if (state == MemberState.LIVE) {
				this.liveSince.putIfAbsent(id, this.clock.nanoTime());
			}
		});
	}

	private List<String> eligible(boolean willing) {
		Set<String> ids = new HashSet<>(this.liveSince.keySet());
		ids.remove(this.vm);
		if (willing) {
			ids.add(this.vm);
		}
		return new ArrayList<>(ids);
	}

	private void noteHeld(List<State> states) {
		for (int number = 0; number < states.size(); number++) {
			if (states.get(number) != State.OWNED) {
				this.heldSince.remove(number);
				continue;
			}
			this.orphans.remove(number);
			if (this.heldSince.putIfAbsent(number, this.clock.nanoTime()) == null && this.moved.remove(number)) {
				this.returns.merge(number, 1, Integer::sum);
			}
		}
	}

	private void establish(PoolSpec spec, List<String> eligible) {
		if (due(0, "", 0, 0, eligible)) {
			this.ledger.establish(spec.claimPartitions());
		}
	}

	private boolean takeIfDue(int number, Map<String, MemberState> agents, List<String> eligible) {
		Optional<PartitionRecord> record = PartitionRecord.find(this.records, this.pool, number);
		String owner = record.map(PartitionRecord::owner).orElse("");
		long ownerIncarnation = record.map(PartitionRecord::incarnation).orElse(0L);
		MemberState ownerState = agents.getOrDefault(owner, MemberState.GONE);
		if (!owner.isEmpty() && !owner.equals(this.vm) && ownerState.acceptsWork()) {
			this.orphans.remove(number);
			return false;
		}
		long patienceMs = (owner.isEmpty() || owner.equals(this.vm)) ? 0 : this.settings.ownerGoneMs();
		if (!due(number, owner, ownerIncarnation, patienceMs, eligible)) {
			return false;
		}
		this.ledger.take(number, owner, ownerIncarnation);
		return true;
	}

	private boolean due(int number, String owner, long ownerIncarnation, long patienceMs, List<String> eligible) {
		long now = this.clock.nanoTime();
		Orphan orphan = this.orphans.get(number);
		if (orphan == null || !orphan.owner.equals(owner) || orphan.incarnation != ownerIncarnation) {
			orphan = new Orphan(owner, ownerIncarnation, now);
			this.orphans.put(number, orphan);
		}
		int rank = PartitionRanking.rank(PartitionRecord.name(this.pool, number), eligible).indexOf(this.vm);
		if (rank < 0) {
			return false;
		}
		long waitMs = owner.equals(this.vm) ? 0 : patienceMs + rank * this.settings.rankDelayMs();
		if (now - orphan.since < TimeUnit.MILLISECONDS.toNanos(waitMs)
				|| now - this.retryAt.getOrDefault(number, now) < 0) {
			return false;
		}
		this.retryAt.put(number, now + TimeUnit.MILLISECONDS.toNanos(RETRY_MS + this.random.nextLong(RETRY_MS)));
		return true;
	}

	private boolean releaseIfDue(int number, State state, List<String> eligible, boolean willing) {
		if (state != State.OWNED) {
			return false;
		}
		if (willing && !betterOwnerIsStable(number, eligible)) {
			return false;
		}
		this.moved.add(number);
		this.ledger.release(number);
		return true;
	}

	private boolean betterOwnerIsStable(int number, List<String> eligible) {
		String best = PartitionRanking.rank(PartitionRecord.name(this.pool, number), eligible).get(0);
		if (best.equals(this.vm)) {
			return false;
		}
		long now = this.clock.nanoTime();
		long holdMs = this.settings.holdMs() << Math.min(MAX_HOLD_DOUBLINGS,
				DOUBLINGS_PER_RETURN * this.returns.getOrDefault(number, 0));
		boolean held = now - this.heldSince.getOrDefault(number, now) >= TimeUnit.MILLISECONDS.toNanos(holdMs);
		boolean stable = now - this.liveSince.get(best) >= TimeUnit.MILLISECONDS.toNanos(this.settings.stableMs());
		return held && stable;
	}

	/**
	 * Return the state for the dump of the process.
	 * @return a JSON object
	 */
	public synchronized ObjectNode dump() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("draining", this.draining);
		node.put("owned", this.heldSince.size());
		node.put("withoutOwner", this.orphans.size());
		node.put("liveAgents", this.liveSince.size());
		return node;
	}

	private record Orphan(String owner, long incarnation, long since) {
	}

}

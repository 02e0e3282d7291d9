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
 * Decides which partitions this agent takes over and releases. An agent takes a partition
 * over that has no owner, or whose owner has been missing for a while, after a delay that
 * grows with its position in the ranking. It releases a partition when the agent leaves,
 * when its backend server can't run calls, or when an agent of a higher rank has been
 * stable for a while. Membership affects only the time of a move: an outdated view may
 * cause an unnecessary move, but never a second run of a call. Thread-safe;
 * {@link #tick()} is called about every 100 ms.
 */
public final class PartitionOwnership {

	/** Limits the hold time to 64 times {@link OwnershipSettings#holdMs()}. */
	private static final int MAX_HOLD_DOUBLINGS = 6;

	/** The hold time is quadrupled for each return of a partition. */
	private static final int DOUBLINGS_PER_RETURN = 2;

	/** Shortest delay between attempts; up to the same time is added at random. */
	private static final long RETRY_MS = 500;

	private final String vm;

	private final long incarnation;

	private final String pool;

	private final ClaimLedger ledger;

	private final RecordView records;

	private final MembershipView members;

	private final BooleanSupplier backendReady;

	private final NanoClock clock;

	private final RandomGenerator random;

	private final OwnershipSettings settings;

	private final Map<Integer, MissingOwner> missingOwners = new HashMap<>();

	private final Map<Integer, Long> ownedSince = new HashMap<>();

	private final Map<Integer, Integer> returnCounts = new HashMap<>();

	private final Set<Integer> released = new HashSet<>();

	private final Map<String, Long> liveSince = new HashMap<>();

	private final Map<Integer, Long> retryAt = new HashMap<>();

	private boolean draining;

	/**
	 * Create the ownership decisions of one agent.
	 * @param pool the pool's name
	 * @param vm the id of this VM
	 * @param incarnation the incarnation of this process, the same as the ledger's
	 * @param ledger the ledger
	 * @param records the records in force
	 * @param members the members of the fleet
	 * @param backendReady whether the backend server can run calls
	 * @param clock the monotonic clock
	 * @param random the source of random retry delays
	 * @param settings the settings
	 */
	public PartitionOwnership(String pool, String vm, long incarnation, ClaimLedger ledger, RecordView records,
			MembershipView members, BooleanSupplier backendReady, NanoClock clock, RandomGenerator random,
			OwnershipSettings settings) {
		this.pool = pool;
		this.vm = vm;
		this.incarnation = incarnation;
		this.ledger = ledger;
		this.records = records;
		this.members = members;
		this.backendReady = backendReady;
		this.clock = clock;
		this.random = random;
		this.settings = settings;
	}

	/**
	 * Release all partitions and take no more over.
	 */
	public synchronized void drain() {
		this.draining = true;
	}

	/**
	 * Return whether a drain is complete.
	 * @return whether no partition is owned, being taken over or being released
	 */
	public boolean drained() {
		return this.ledger.states().stream().allMatch((state) -> state == State.IDLE);
	}

	/**
	 * Take over and release partitions as needed.
	 */
	public synchronized void tick() {
		Optional<PoolSpec> spec = this.records.pool(this.pool).filter((poolSpec) -> !poolSpec.repeatable());
		Map<String, MemberState> agents = agents();
		updateLive(agents);
		boolean leaving = agents.get(this.vm) == MemberState.LEAVING;
		boolean canOwn = !this.draining && !leaving && this.backendReady.getAsBoolean();
		if (this.members.ownNetworkLost()) {
			this.missingOwners.clear();
			return;
		}
		List<String> eligible = eligible(canOwn);
		List<State> states = this.ledger.states();
		updateOwned(states);
		if (spec.isPresent() && canOwn && states.isEmpty()) {
			ensurePartitionCount(spec.get(), eligible);
		}
		int moving = (int) states.stream().filter((state) -> state != State.IDLE && state != State.OWNED).count();
		for (int number = 0; number < states.size() && moving < this.settings.concurrentMoves(); number++) {
			boolean acted = (states.get(number) == State.IDLE)
					? spec.isPresent() && canOwn && takeOverIfDue(number, agents, eligible)
					: releaseIfDue(number, states.get(number), eligible, canOwn);
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

	private void updateLive(Map<String, MemberState> agents) {
		this.liveSince.keySet().removeIf((id) -> agents.get(id) != MemberState.LIVE);
		agents.forEach((id, state) -> {
			if (state == MemberState.LIVE) {
				this.liveSince.putIfAbsent(id, this.clock.nanoTime());
			}
		});
	}

	private List<String> eligible(boolean canOwn) {
		Set<String> ids = new HashSet<>(this.liveSince.keySet());
		ids.remove(this.vm);
		if (canOwn) {
			ids.add(this.vm);
		}
		return new ArrayList<>(ids);
	}

	private void updateOwned(List<State> states) {
		for (int number = 0; number < states.size(); number++) {
			if (states.get(number) != State.OWNED) {
				this.ownedSince.remove(number);
				continue;
			}
			this.missingOwners.remove(number);
			if (this.ownedSince.putIfAbsent(number, this.clock.nanoTime()) == null && this.released.remove(number)) {
				this.returnCounts.merge(number, 1, Integer::sum);
			}
		}
	}

	private void ensurePartitionCount(PoolSpec spec, List<String> eligible) {
		if (attemptDue(0, "", 0, 0, eligible)) {
			this.ledger.ensurePartitionCount(spec.claimPartitions());
		}
	}

	private boolean takeOverIfDue(int number, Map<String, MemberState> agents, List<String> eligible) {
		Optional<PartitionRecord> record = PartitionRecord.find(this.records, this.pool, number);
		String owner = record.map(PartitionRecord::owner).orElse("");
		long ownerIncarnation = record.map(PartitionRecord::incarnation).orElse(0L);
		MemberState ownerState = agents.getOrDefault(owner, MemberState.GONE);
		if (!owner.isEmpty() && !owner.equals(this.vm) && ownerState.acceptsWork()) {
			this.missingOwners.remove(number);
			return false;
		}
		long graceMs = (owner.isEmpty() || owner.equals(this.vm)) ? 0 : this.settings.ownerGoneMs();
		if (!attemptDue(number, owner, ownerIncarnation, graceMs, eligible)) {
			return false;
		}
		this.ledger.takeOver(number, owner, ownerIncarnation);
		return true;
	}

	// Returns whether an attempt is due. Also notes since when the owner is missing, and
	// the earliest time of the next attempt if this one is due.
	private boolean attemptDue(int number, String owner, long ownerIncarnation, long graceMs, List<String> eligible) {
		long now = this.clock.nanoTime();
		MissingOwner missing = this.missingOwners.get(number);
		if (missing == null || !missing.owner.equals(owner) || missing.incarnation != ownerIncarnation) {
			missing = new MissingOwner(owner, ownerIncarnation, now);
			this.missingOwners.put(number, missing);
		}
		int rank = PartitionRanking.rank(PartitionRecord.name(this.pool, number), eligible).indexOf(this.vm);
		if (rank < 0) {
			return false;
		}
		long waitMs = owner.equals(this.vm) ? 0 : graceMs + rank * this.settings.rankDelayMs();
		if (now - missing.since < TimeUnit.MILLISECONDS.toNanos(waitMs)
				|| now - this.retryAt.getOrDefault(number, now) < 0) {
			return false;
		}
		this.retryAt.put(number, now + TimeUnit.MILLISECONDS.toNanos(RETRY_MS + this.random.nextLong(RETRY_MS)));
		return true;
	}

	private boolean releaseIfDue(int number, State state, List<String> eligible, boolean canOwn) {
		if (state != State.OWNED) {
			return false;
		}
		if (canOwn && !betterOwnerIsStable(number, eligible)) {
			return false;
		}
		this.released.add(number);
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
				DOUBLINGS_PER_RETURN * this.returnCounts.getOrDefault(number, 0));
		boolean heldLongEnough = now - this.ownedSince.getOrDefault(number, now) >= TimeUnit.MILLISECONDS
			.toNanos(holdMs);
		boolean bestIsStable = now - this.liveSince.get(best) >= TimeUnit.MILLISECONDS
			.toNanos(this.settings.stableMs());
		return heldLongEnough && bestIsStable;
	}

	/**
	 * Return the state for the dump of the process.
	 * @return a JSON object
	 */
	public synchronized ObjectNode dump() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("draining", this.draining);
		node.put("owned", this.ownedSince.size());
		node.put("withoutOwner", this.missingOwners.size());
		node.put("liveAgents", this.liveSince.size());
		return node;
	}

	/**
	 * Owner that must be replaced.
	 *
	 * @param owner the id of the owner's VM, empty if there is none
	 * @param incarnation the owner's incarnation
	 * @param since when the owner was first seen missing, on the monotonic clock
	 */
	private record MissingOwner(String owner, long incarnation, long since) {
	}

}

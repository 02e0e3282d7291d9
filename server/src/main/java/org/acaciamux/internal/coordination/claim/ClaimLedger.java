package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.Failure;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.ClaimPartition.State;
import org.acaciamux.internal.coordination.claim.KeyState.Phase;
import org.acaciamux.internal.coordination.claim.KeyState.Waiter;
import org.acaciamux.internal.coordination.claim.PartitionTakeover.ExpectedOwner;
import org.acaciamux.internal.coordination.platform.GuardedStore;
import org.acaciamux.internal.coordination.platform.ObjectStore;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * The claims of one agent for the pool of its backend server. Invariants: a key runs only
 * after its claim is in a segment that this agent had not lost when the claim was
 * written; a known key does not run, unless the only thing known about it is a claim of
 * this agent whose call was not sent; {@code not-run} is reported only if
 * {@link ClaimFailures} or the table of keys proves it. A known key is decided from the
 * table even after its partition was lost. Safety does not depend on clocks. Thread-safe;
 * {@link #tick()} is called about every 20 ms.
 */
public final class ClaimLedger implements CallClaims {

	private final PartitionContext context;

	private final RecordView records;

	private final AnswerStore answers;

	private final List<ClaimPartition> partitions = new ArrayList<>();

	private PoolSpec spec;

	private boolean ignoredCountReported;

	/**
	 * Create a ledger that owns no partition.
	 * @param pool the pool's name
	 * @param vm the id of this VM
	 * @param incarnation the incarnation of this process
	 * @param store the object store
	 * @param records the records in force
	 * @param epochClock the wall clock
	 * @param nanoClock the monotonic clock
	 * @param settings the settings
	 * @param metrics the metrics of the process
	 */
	public ClaimLedger(String pool, String vm, long incarnation, ObjectStore store, RecordView records,
			EpochClock epochClock, NanoClock nanoClock, ClaimSettings settings, MetricRegistry metrics) {
		this.context = new PartitionContext(new GuardedStore(store, LockRank.CLAIM_TABLE), pool, vm, incarnation,
				epochClock, nanoClock, settings, ClaimMetrics.in(metrics));
		this.records = records;
		this.answers = new AnswerStore(settings);
		this.spec = PoolSpec.plainDefaults(pool);
	}

	@Override
	public CompletionStage<Decision> claim(KeyedCall call) {
		CompletableFuture<Decision> result = new CompletableFuture<>();
		this.context.store()
			.guarded(() -> decide(call, result).ifPresent((decision) -> complete(result, countReplay(decision))));
		return result;
	}

	@Override
	public CompletionStage<Failure> refuse(KeyedCall call, Failure reason) {
		CompletableFuture<Failure> result = new CompletableFuture<>();
		this.context.store()
			.guarded(() -> refuseKey(call, reason, result)
				.ifPresent((outcome) -> complete(result, reason.withOutcome(outcome))));
		return result;
	}

	@Override
	public void answered(KeyedCall call, StoredAnswer answer) {
		this.context.store()
			.guarded(() -> ifRunning(call, (partition, key) -> partition.outcomes().answered(key, answer)));
	}

	@Override
	public void failed(KeyedCall call, Outcome outcome) {
		this.context.store()
			.guarded(() -> ifRunning(call, (partition, key) -> partition.outcomes().failed(key, call, outcome)));
	}

	private void ifRunning(KeyedCall call, KeyAction action) {
		IdempotencyKey.parse(call.key()).flatMap(this::partition).ifPresent((partition) -> {
			KeyState key = partition.keys().get(call.key());
			if (key != null && key.phase() == Phase.RUNNING && key.digest().equals(call.digest().hex())) {
				action.apply(partition, key);
			}
		});
	}

	private Optional<Decision> decide(KeyedCall call, CompletableFuture<Decision> result) {
		Optional<IdempotencyKey> parsed = IdempotencyKey.parse(call.key());
		if (parsed.isEmpty()) {
			return refuse(ClaimFailures.invalidKey(call));
		}
		IdempotencyKey key = parsed.get();
		Optional<ClaimPartition> partition = partition(key);
		if (partition.isEmpty() || !call.pool().equals(this.context.pool())) {
			this.context.metrics().notOwner().inc();
			return refuse(ClaimFailures.notOwner(call));
		}
		if (expired(key, partition.get())) {
			return refuse(ClaimFailures.expired(key));
		}
		KeyState known = partition.get().keys().get(key.text());
		Waiter waiter = Waiter.claim(call, this.context.nowNanos(), result);
		if (known != null) {
			return decideKnownKey(known, call, waiter, partition.get());
		}
		return claimNewKey(key, call, waiter, partition.get());
	}

	private Optional<Decision> claimNewKey(IdempotencyKey key, KeyedCall call, Waiter waiter,
			ClaimPartition partition) {
		if (partition.state() != State.OWNED) {
			this.context.metrics().notOwner().inc();
			return refuse(ClaimFailures.notOwner(call));
		}
		if (!partition.acceptsClaims()) {
			this.context.metrics().unavailable().inc();
			return refuse(ClaimFailures.unavailable(call, partition.retryAfterMs()));
		}
		enqueue(partition, new KeyState(key, call.digest().hex(), Phase.CLAIMING), waiter);
		return Optional.empty();
	}

	private void enqueue(ClaimPartition partition, KeyState state, Waiter waiter) {
		state.waiters().add(waiter);
		partition.enqueue(state);
	}

	private Optional<Decision> decideKnownKey(KeyState known, KeyedCall call, Waiter waiter, ClaimPartition partition) {
		if (known.phase() == Phase.REFUSED) {
			return refuse(ClaimFailures.refusedKey(call));
		}
		if (known.digest().isEmpty()) {
			return refuse(ClaimFailures.outcomeUnknown(call, "has an entry of a newer version and may have run"));
		}
		if (known.phase() != Phase.REFUSING && !known.digest().equals(call.digest().hex())) {
			return refuse(ClaimFailures.reused(call, known.phase() != Phase.CLAIMING));
		}
		switch (known.phase()) {
			case CLAIMING, REFUSING -> {
				known.waiters().add(waiter);
				return Optional.empty();
			}
			case UNSENT -> {
				known.setPhase(Phase.RUNNING);
				return Optional.of(partition.outcomes().runDecision());
			}
			case RUNNING -> {
				return Optional.of(partition.outcomes().attachDecision(known));
			}
			case ANSWERED -> {
				return known.answer()
					.<Optional<Decision>>map((answer) -> Optional.of(new Decision.Replay(answer)))
					.orElseGet(() -> refuse(
							ClaimFailures.outcomeUnknown(call, "ran and was answered with status " + known.status())));
			}
			default -> {
				return refuse(ClaimFailures.outcomeUnknown(call, "was claimed by an earlier attempt and may have run"));
			}
		}
	}

	// Return the outcome to report for a call that this agent refuses to run, or empty if
	// the outcome is known only after a write.
	private Optional<Outcome> refuseKey(KeyedCall call, Failure reason, CompletableFuture<Failure> result) {
		Optional<IdempotencyKey> key = IdempotencyKey.parse(call.key());
		Optional<ClaimPartition> partition = key.flatMap(this::partition);
		if (key.isEmpty()) {
			return Optional.of(Outcome.NOT_RUN);
		}
		if (partition.isEmpty() || expired(key.get(), partition.get())) {
			return Optional.of(ClaimFailures.unsentOutcome(call));
		}
		KeyState known = partition.get().keys().get(key.get().text());
		if (known != null) {
			return refuseKnownKey(known, Waiter.refusal(call, this.context.nowNanos(), result, reason),
					partition.get());
		}
		if (call.firstAttempt() || !partition.get().acceptsClaims()) {
			return Optional.of(ClaimFailures.unsentOutcome(call));
		}
		enqueue(partition.get(), new KeyState(key.get(), call.digest().hex(), Phase.REFUSING),
				Waiter.refusal(call, this.context.nowNanos(), result, reason));
		return Optional.empty();
	}

	private Optional<Outcome> refuseKnownKey(KeyState known, Waiter waiter, ClaimPartition partition) {
		if (known.phase() == Phase.REFUSING) {
			known.waiters().add(waiter);
			return Optional.empty();
		}
		if (known.phase() == Phase.UNSENT) {
			partition.outcomes().markNotSent(known);
		}
		return Optional.of((known.phase() == Phase.REFUSED) ? Outcome.NOT_RUN : Outcome.UNKNOWN);
	}

	private boolean expired(IdempotencyKey key, ClaimPartition partition) {
		return key.timestampMs() <= partition.floorMs()
				|| key.age(this.context.nowMs(), this.spec.keyRetentionMs()) != IdempotencyKey.Age.VALID;
	}

	private Optional<ClaimPartition> partition(IdempotencyKey key) {
		if (this.partitions.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.partitions.get(key.partition(this.partitions.size())));
	}

	private Optional<Decision> refuse(Failure failure) {
		this.context.metrics().refused().inc();
		return Optional.of(new Decision.Refuse(failure));
	}

	private Decision countReplay(Decision decision) {
		if (decision instanceof Decision.Replay) {
			this.context.metrics().replayed().inc();
		}
		return decision;
	}

	private <T> void complete(CompletableFuture<T> result, T value) {
		this.context.store().afterwards(() -> result.complete(value));
	}

	/**
	 * Advance pending writes, takeovers and expiry.
	 */
	public void tick() {
		Optional<PoolSpec> current = this.records.pool(this.context.pool());
		Optional<PartitionRecord> first = PartitionRecord.find(this.records, this.context.pool(), 0);
		this.context.store().guarded(() -> {
			this.spec = current.orElse(this.spec);
			first.ifPresent((record) -> createPartitions(record.partitions()));
			long expiredUpToMs = this.context.nowMs() - this.spec.keyRetentionMs()
					- this.context.settings().expiryMarginMs();
			List.copyOf(this.partitions).forEach((partition) -> partition.tick(expiredUpToMs));
			reportIgnoredCount();
		});
	}

	private void createPartitions(int count) {
		if (!this.partitions.isEmpty()) {
			return;
		}
		for (int number = 0; number < count; number++) {
			this.partitions.add(new ClaimPartition(this.context, number, this.answers));
		}
	}

	private void reportIgnoredCount() {
		if (this.ignoredCountReported || this.partitions.isEmpty()
				|| this.partitions.size() == this.spec.claimPartitions()) {
			return;
		}
		this.ignoredCountReported = true;
		EventLog.log(ClaimEvent.PARTITION_COUNT_IGNORED, this.context.pool(), this.spec.claimPartitions(),
				this.partitions.size());
	}

	/**
	 * Return the number of partitions of the pool.
	 * @return the number, 0 while it is not known to this process
	 */
	int partitionCount() {
		return this.context.store().guarded(this.partitions::size);
	}

	/**
	 * Return the ownership of the partitions as this process sees it.
	 * @return the states by partition number
	 */
	List<State> states() {
		return this.context.store().guarded(() -> this.partitions.stream().map(ClaimPartition::state).toList());
	}

	/**
	 * Set the number of partitions of the pool, or read it if it is already set.
	 * @param wanted the number if none is set yet
	 */
	void ensurePartitionCount(int wanted) {
		String name = PartitionRecord.name(this.context.pool(), 0);
		this.context.store().guarded(() -> this.context.store().get(PartitionRecord.KIND, name, (result) -> {
			if (result.isRight()) {
				createPartitionsFrom(result.get());
			}
			else if (result.getLeft().kind() == StoreFailure.Kind.NOT_FOUND) {
				this.context.store()
					.put(PartitionRecord.KIND, name, 0, PartitionRecord.empty(wanted).toJson(),
							(created) -> created.peek(this::createPartitionsFrom)
								.peekLeft((failure) -> failure.current().ifPresent(this::createPartitionsFrom)));
			}
		}));
	}

	private void createPartitionsFrom(StoredObject first) {
		PartitionRecord.parse(first.value()).ifPresent((record) -> createPartitions(record.partitions()));
	}

	/**
	 * Take a partition over from an owner that is gone.
	 * @param partition the partition
	 * @param owner the id of the owner's VM, empty if there is none
	 * @param incarnation the owner's incarnation
	 */
	void takeOver(int partition, String owner, long incarnation) {
		this.context.store()
			.guarded(() -> this.partitions.get(partition)
				.takeOver(new ExpectedOwner(owner, incarnation, this.partitions.size())));
	}

	/**
	 * Release a partition once its queued claims are written.
	 * @param partition the partition
	 */
	void release(int partition) {
		this.context.store().guarded(() -> this.partitions.get(partition).release());
	}

	/**
	 * Return the state for the dump of the process; holds no bodies.
	 * @return a JSON object
	 */
	public ObjectNode dump() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("pool", this.context.pool());
		this.context.store().guarded(() -> {
			node.put("storedAnswers", this.answers.count());
			node.put("storedAnswerBytes", this.answers.bytes());
			ArrayNode array = node.putArray("partitions");
			this.partitions.forEach((partition) -> partition.dump(array.addObject()));
		});
		return node;
	}

	private interface KeyAction {

		void apply(ClaimPartition partition, KeyState key);

	}

}

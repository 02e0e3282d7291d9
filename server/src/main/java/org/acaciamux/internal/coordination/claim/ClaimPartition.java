package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.acaciamux.Failure;
import org.acaciamux.internal.coordination.claim.KeyState.Phase;
import org.acaciamux.internal.coordination.claim.KeyState.Waiter;
import org.acaciamux.internal.coordination.claim.PartitionLog.WriteOutcome;
import org.acaciamux.internal.coordination.claim.PartitionTakeover.ExpectedOwner;
import org.acaciamux.internal.coordination.claim.PartitionTakeover.TakenPartition;
import org.acaciamux.internal.event.EventLog;

/**
 * Ownership and group writes of one partition at one agent. Invariant: keys are added to
 * the table only while the partition is owned, and are removed only when their write
 * provably had no effect or their time is not above the floor
 * ({@link PartitionRecord#floorMs()}). Guarded by the ledger's lock.
 */
final class ClaimPartition {

	/** Longest time that a release waits for running calls. */
	private static final long RELEASE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Interval between removals of expired keys and segments. */
	private static final long EXPIRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * Pause after the first refused write; doubled for each further one up to the
	 * maximum.
	 */
	private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final PartitionContext context;

	private final String name;

	private final Map<String, KeyState> keys = new HashMap<>();

	private final KeyOutcomes outcomes;

	private List<KeyState> queue = new ArrayList<>();

	private List<KeyState> inFlight = List.of();

	private State state = State.IDLE;

	private PartitionTakeover takeover;

	private PartitionLog log;

	private long floorMs;

	private long nextWriteAt;

	private long blockedUntil;

	private long pauseNanos = FIRST_PAUSE_NANOS;

	private long nextExpiryAt;

	private long releaseDeadline;

	private boolean sealed;

	private int partitions;

	ClaimPartition(PartitionContext context, int number, AnswerStore answers) {
		this.context = context;
		this.name = PartitionRecord.name(context.pool(), number);
		this.outcomes = new KeyOutcomes(context, answers);
		this.nextWriteAt = context.nowNanos();
		this.blockedUntil = this.nextWriteAt;
		this.nextExpiryAt = this.nextWriteAt;
	}

	State state() {
		return this.state;
	}

	Map<String, KeyState> keys() {
		return this.keys;
	}

	KeyOutcomes outcomes() {
		return this.outcomes;
	}

	long floorMs() {
		return this.floorMs;
	}

	/**
	 * Return the number of partitions in the partition object.
	 * @return the number, 0 if this process has never owned the partition
	 */
	int partitions() {
		return this.partitions;
	}

	/**
	 * Return whether a new key may be added now.
	 * @return whether the partition is owned and its writes are neither paused nor
	 * uncertain
	 */
	boolean acceptsClaims() {
		return this.state == State.OWNED && !blocked() && !this.log.uncertain();
	}

	/**
	 * Return the time after which a refused claim may be retried.
	 * @return the time in milliseconds
	 */
	long retryAfterMs() {
		long pause = TimeUnit.NANOSECONDS.toMillis(this.blockedUntil - this.context.nowNanos());
		return Math.max(500, pause);
	}

	private boolean blocked() {
		return this.context.nowNanos() - this.blockedUntil < 0;
	}

	// Queue a new key for the next group write.
	void enqueue(KeyState key) {
		this.keys.put(key.key().text(), key);
		this.queue.add(key);
		flush();
	}

	void takeOver(ExpectedOwner expected) {
		if (this.state != State.IDLE) {
			return;
		}
		this.state = State.TAKING;
		this.takeover = new PartitionTakeover(this.context, this.name, expected, (result) -> {
			this.takeover = null;
			result.peekLeft(this::takeoverFailed).peek(this::takeoverSucceeded);
		});
		this.takeover.start();
	}

	private void takeoverFailed(String reason) {
		this.state = State.IDLE;
		EventLog.log(ClaimEvent.PARTITION_TAKE_FAILED, this.name, reason);
	}

	private void takeoverSucceeded(TakenPartition partition) {
		this.log = new PartitionLog(this.context, this.name, partition);
		this.partitions = partition.record().partitions();
		this.floorMs = Math.max(this.floorMs, partition.record().floorMs());
		partition.entries().forEach((entry) -> this.outcomes.loadEntry(this.keys, entry));
		this.state = State.OWNED;
		this.sealed = false;
		this.context.metrics().takeovers().inc();
		EventLog.log(ClaimEvent.PARTITION_TAKEN, this.name, partition.previousOwner(), this.keys.size(),
				partition.record().segments().size());
	}

	/**
	 * Release the partition once all queued entries are written.
	 */
	void release() {
		if (this.state == State.OWNED) {
			this.state = State.RELEASING;
			this.releaseDeadline = this.context.nowNanos() + RELEASE_WAIT_NANOS;
		}
	}

	void tick(long expiredUpToMs) {
		if (this.takeover != null) {
			this.takeover.tick();
		}
		if (this.log != null) {
			this.log.tick();
		}
		expireWaiters();
		if (this.context.nowNanos() - this.nextExpiryAt >= 0) {
			this.nextExpiryAt = this.context.nowNanos() + EXPIRY_INTERVAL_NANOS;
			removeExpiredKeys(expiredUpToMs);
			dropExpiredSegments(expiredUpToMs);
		}
		proceed();
	}

	private void proceed() {
		flush();
		if (this.state == State.RELEASING) {
			finishRelease();
		}
	}

	private void flush() {
		if (this.log == null || this.log.busy() || blocked() || this.sealed) {
			return;
		}
		long now = this.context.nowNanos();
		if ((this.queue.isEmpty() && !this.outcomes.writeDue(now)) || now - this.nextWriteAt < 0) {
			return;
		}
		if (this.log.remainingEntries() <= 0) {
			this.log.rollOver(this::recordWritten);
			return;
		}
		List<KeyState> group = this.queue.subList(0, Math.min(this.queue.size(), this.log.remainingEntries()));
		this.queue = new ArrayList<>(this.queue.subList(group.size(), this.queue.size()));
		write(List.copyOf(group), now);
	}

	private void write(List<KeyState> group, long now) {
		List<SegmentEntry> entries = new ArrayList<>();
		group.forEach((key) -> entries.add(entry(key)));
		List<SegmentEntry> outcomeEntries = this.outcomes.takePending(this.log.remainingEntries() - entries.size());
		entries.addAll(outcomeEntries);
		this.nextWriteAt = now
				+ TimeUnit.SECONDS.toNanos(1) * this.partitions / this.context.settings().writesPerSecond();
		this.context.metrics().groupSize().update(entries.size());
		this.inFlight = group;
		this.log.append(entries, (result) -> groupWritten(group, outcomeEntries, result));
	}

	private SegmentEntry entry(KeyState key) {
		return (key.phase() == Phase.REFUSING) ? SegmentEntry.of(SegmentEntry.Type.REFUSED, key.key(), 0)
				: SegmentEntry.claim(key.key(), key.digest(), this.context.nowMs());
	}

	private void groupWritten(List<KeyState> group, List<SegmentEntry> outcomeEntries, WriteOutcome result) {
		this.inFlight = List.of();
		if (result == WriteOutcome.WRITTEN || result == WriteOutcome.WRITTEN_AND_LOST) {
			this.pauseNanos = FIRST_PAUSE_NANOS;
			group.forEach((key) -> this.outcomes.onDurable(key, this.floorMs));
		}
		else if (result == WriteOutcome.NOT_WRITTEN) {
			EventLog.log(ClaimEvent.CLAIM_WRITE_REFUSED, this.name, group.size(), "the platform refused the write");
			this.outcomes.putBack(outcomeEntries);
			group.forEach(this::withdraw);
			pauseWrites();
		}
		checkLoss(result);
		if (result == WriteOutcome.LOST) {
			group.forEach(this::withdraw);
		}
		proceed();
	}

	private void recordWritten(WriteOutcome result) {
		if (result == WriteOutcome.NOT_WRITTEN) {
			pauseWrites();
		}
		if (this.log != null) {
			this.floorMs = Math.max(this.floorMs, this.log.floorMs());
		}
		checkLoss(result);
		proceed();
	}

	private void checkLoss(WriteOutcome result) {
		if (result == WriteOutcome.LOST || result == WriteOutcome.WRITTEN_AND_LOST) {
			this.context.metrics().lost().inc();
			EventLog.log(ClaimEvent.PARTITION_LOST, this.name, "another process changed its objects");
			stopOwning();
		}
	}

	/**
	 * Refuse all queued calls and pause, because the platform refuses writes.
	 */
	private void pauseWrites() {
		this.blockedUntil = this.context.nowNanos() + this.pauseNanos;
		this.pauseNanos = Math.min(MAX_PAUSE_NANOS, this.pauseNanos * 2);
		withdrawQueue();
	}

	private void stopOwning() {
		this.state = State.IDLE;
		this.log = null;
		this.outcomes.clear();
		withdrawQueue();
	}

	private void withdrawQueue() {
		List<KeyState> queued = this.queue;
		this.queue = new ArrayList<>();
		queued.forEach(this::withdraw);
	}

	// Remove a key whose claim or refusal was not written, and refuse the waiting calls.
	private void withdraw(KeyState key) {
		this.keys.remove(key.key().text());
		for (Waiter waiter : key.takeWaiters()) {
			Failure failure = (this.state == State.IDLE) ? ClaimFailures.notOwner(waiter.call())
					: ClaimFailures.unavailable(waiter.call(), retryAfterMs());
			this.context.metrics().unavailable().inc();
			this.context.store().afterwards(() -> waiter.refuse(failure));
		}
	}

	/**
	 * Refuse calls that have waited too long. A key for which {@code not-run} was
	 * reported stays in the table and does not run when its claim is written.
	 */
	private void expireWaiters() {
		long limit = this.context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(this.context.settings().claimWaitMs());
		expireWaiters(this.queue, limit);
		expireWaiters(this.inFlight, limit);
	}

	private void expireWaiters(List<KeyState> unwritten, long limit) {
		for (KeyState key : unwritten) {
			key.waiters().removeIf((waiter) -> waiter.sinceNanos() - limit < 0 && expire(key, waiter));
		}
	}

	private boolean expire(KeyState key, Waiter waiter) {
		Failure failure = ClaimFailures.unavailable(waiter.call(), retryAfterMs());
		if (waiter.call().firstAttempt()) {
			key.forbidRun();
		}
		this.context.store().afterwards(() -> waiter.refuse(failure));
		return true;
	}

	// The floor rises only up to the times of removed keys, so that valid keys are not
	// refused after the wall clock was ahead for a while.
	private void removeExpiredKeys(long expiredUpToMs) {
		long newFloorMs = this.floorMs;
		Iterator<KeyState> all = this.keys.values().iterator();
		while (all.hasNext()) {
			KeyState key = all.next();
			if (key.key().timestampMs() <= expiredUpToMs && this.outcomes.forgetIfSettled(key)) {
				newFloorMs = Math.max(newFloorMs, key.key().timestampMs());
				all.remove();
			}
		}
		this.floorMs = newFloorMs;
	}

	private void dropExpiredSegments(long expiredUpToMs) {
		if (this.state == State.OWNED && !this.log.busy() && !blocked()) {
			this.log.dropExpiredSegments(expiredUpToMs, this::recordWritten);
		}
	}

	private void finishRelease() {
		if (this.log.busy() || blocked() || !this.queue.isEmpty()) {
			return;
		}
		if (!this.sealed) {
			boolean callsRunning = this.keys.values().stream().anyMatch((key) -> key.phase() == Phase.RUNNING);
			if (callsRunning && this.context.nowNanos() - this.releaseDeadline < 0) {
				return;
			}
			List<SegmentEntry> outcomeEntries = this.outcomes.takePending(Integer.MAX_VALUE);
			this.log.close(outcomeEntries, (result) -> closeWritten(outcomeEntries, result));
			return;
		}
		this.log.release(this::releaseWritten);
	}

	private void closeWritten(List<SegmentEntry> outcomeEntries, WriteOutcome result) {
		if (result == WriteOutcome.NOT_WRITTEN) {
			this.outcomes.putBack(outcomeEntries);
		}
		this.sealed = result == WriteOutcome.WRITTEN;
		recordWritten(result);
	}

	private void releaseWritten(WriteOutcome result) {
		if (result == WriteOutcome.WRITTEN) {
			EventLog.log(ClaimEvent.PARTITION_RELEASED, this.name);
			stopOwning();
			return;
		}
		recordWritten(result);
	}

	void dump(ObjectNode node) {
		node.put("state", this.state.name());
		node.put("keys", this.keys.size());
		node.put("queued", this.queue.size());
		node.put("blocked", blocked());
		if (this.log != null) {
			this.log.dump(node);
		}
	}

	/**
	 * Ownership of a partition as this process sees it.
	 */
	enum State {

		/** Not owned. */
		IDLE,
		/** Being taken over. */
		TAKING,
		/** Owned and served. */
		OWNED,
		/** Owned, accepts no new keys and is being released. */
		RELEASING

	}

}

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
import org.acaciamux.internal.coordination.claim.PartitionLog.Ended;
import org.acaciamux.internal.coordination.claim.PartitionTake.Expected;
import org.acaciamux.internal.coordination.claim.PartitionTake.Taken;
import org.acaciamux.internal.event.EventLog;

/**
 * One partition at one agent: its ownership and its group writes. Invariant: keys are
 * added to the table only while the partition is owned, and leave it only when their
 * write is proved without effect or their time is not above the floor. Guarded by the
 * ledger's lock.
 */
final class ClaimPartition {

	/** Longest wait of a release for calls that still run. */
	private static final long RELEASE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long FORGET_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final PartitionContext context;

	private final String name;

	private final Map<String, KeyState> keys = new HashMap<>();

	private final KeyOutcomes outcomes;

	private List<KeyState> queue = new ArrayList<>();

	private List<KeyState> inFlight = List.of();

	private State state = State.IDLE;

	private PartitionTake take;

	private PartitionLog log;

	private long floorMs;

	private long nextWriteAt;

	private long blockedUntil;

	private long pauseNanos = FIRST_PAUSE_NANOS;

	private long forgetAt;

	private long releaseAt;

	private boolean sealed;

	private int partitions;

	ClaimPartition(PartitionContext context, int number, AnswerStore answers) {
		this.context = context;
		this.name = PartitionRecord.name(context.pool(), number);
		this.outcomes = new KeyOutcomes(context, answers);
		this.nextWriteAt = context.nowNanos();
		this.blockedUntil = this.nextWriteAt;
		this.forgetAt = this.nextWriteAt;
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

	// Return the number of partitions that the partition object names, 0 if it was not
	// taken.
	int partitions() {
		return this.partitions;
	}

	// Return whether a new key may be added now.
	boolean takesClaims() {
		return this.state == State.OWNED && !blocked() && !this.log.uncertain();
	}

	// Return after what time a refused claim makes sense again.
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

	void take(Expected expected) {
		if (this.state != State.IDLE) {
			return;
		}
		this.state = State.TAKING;
		this.take = new PartitionTake(this.context, this.name, expected, (result) -> {
			this.take = null;
			result.peekLeft(this::takeFailed).peek(this::taken);
		});
		this.take.start();
	}

	private void takeFailed(String reason) {
		this.state = State.IDLE;
		EventLog.log(ClaimEvent.PARTITION_TAKE_FAILED, this.name, reason);
	}

	private void taken(Taken taken) {
		this.log = new PartitionLog(this.context, this.name, taken);
		this.partitions = taken.record().partitions();
		this.floorMs = Math.max(this.floorMs, taken.record().floorMs());
		taken.entries().forEach((entry) -> this.outcomes.load(this.keys, entry));
		this.state = State.OWNED;
		this.sealed = false;
		this.context.metrics().takeovers().inc();
		EventLog.log(ClaimEvent.PARTITION_TAKEN, this.name, taken.previousOwner(), this.keys.size(),
				taken.record().segments().size());
	}

	/**
	 * Give the partition up once what is queued is written.
	 */
	void release() {
		if (this.state == State.OWNED) {
			this.state = State.RELEASING;
			this.releaseAt = this.context.nowNanos() + RELEASE_WAIT_NANOS;
		}
	}

	void tick(long forgetMs) {
		if (this.take != null) {
			this.take.tick();
		}
		if (this.log != null) {
			this.log.tick();
		}
		expireWaiters();
		if (this.context.nowNanos() - this.forgetAt >= 0) {
			this.forgetAt = this.context.nowNanos() + FORGET_INTERVAL_NANOS;
			forget(forgetMs);
			trim(forgetMs);
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
		if ((this.queue.isEmpty() && !this.outcomes.due(now)) || now - this.nextWriteAt < 0) {
			return;
		}
		if (this.log.room() <= 0) {
			this.log.rollOver(this::recordWritten);
			return;
		}
		List<KeyState> group = this.queue.subList(0, Math.min(this.queue.size(), this.log.room()));
		this.queue = new ArrayList<>(this.queue.subList(group.size(), this.queue.size()));
		write(List.copyOf(group), now);
	}

	private void write(List<KeyState> group, long now) {
		List<SegmentEntry> entries = new ArrayList<>();
		group.forEach((key) -> entries.add(entry(key)));
		List<SegmentEntry> ended = this.outcomes.take(this.log.room() - entries.size());
		entries.addAll(ended);
		this.nextWriteAt = now
				+ TimeUnit.SECONDS.toNanos(1) * this.partitions / this.context.settings().writesPerSecond();
		this.context.metrics().groupSize().update(entries.size());
		this.inFlight = group;
		this.log.append(entries, (result) -> groupWritten(group, ended, result));
	}

	private SegmentEntry entry(KeyState key) {
		return (key.phase() == Phase.REFUSING) ? SegmentEntry.of(SegmentEntry.Type.REFUSED, key.key(), 0)
				: SegmentEntry.claim(key.key(), key.digest(), this.context.nowMs());
	}

	private void groupWritten(List<KeyState> group, List<SegmentEntry> ended, Ended result) {
		this.inFlight = List.of();
		if (result == Ended.WRITTEN || result == Ended.WRITTEN_AND_LOST) {
			this.pauseNanos = FIRST_PAUSE_NANOS;
			group.forEach((key) -> this.outcomes.durable(key, this.floorMs));
		}
		else if (result == Ended.NOT_WRITTEN) {
			EventLog.log(ClaimEvent.CLAIM_WRITE_REFUSED, this.name, group.size(), "the platform refused the write");
			this.outcomes.putBack(ended);
			group.forEach(this::withdraw);
			block();
		}
		checkLoss(result);
		if (result == Ended.LOST) {
			group.forEach(this::withdraw);
		}
		proceed();
	}

	private void recordWritten(Ended result) {
		if (result == Ended.NOT_WRITTEN) {
			block();
		}
		if (this.log != null) {
			this.floorMs = Math.max(this.floorMs, this.log.floorMs());
		}
		checkLoss(result);
		proceed();
	}

	private void checkLoss(Ended result) {
		if (result == Ended.LOST || result == Ended.WRITTEN_AND_LOST) {
			this.context.metrics().lost().inc();
			EventLog.log(ClaimEvent.PARTITION_LOST, this.name, "another process changed its objects");
			end();
		}
	}

	/**
	 * Refuse what is queued and pause, because the platform takes no writes.
	 */
	private void block() {
		this.blockedUntil = this.context.nowNanos() + this.pauseNanos;
		this.pauseNanos = Math.min(MAX_PAUSE_NANOS, this.pauseNanos * 2);
		withdrawQueue();
	}

	private void end() {
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

	// Forget a key whose claim or refusal was not written.
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
	 * Answer calls that have waited too long. A key of which a caller was told
	 * {@code not-run} stays in the table and does not run when its claim is written.
	 */
	private void expireWaiters() {
		long limit = this.context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(this.context.settings().claimWaitMs());
		expireWaiters(this.queue, limit);
		expireWaiters(this.inFlight, limit);
	}

	private void expireWaiters(List<KeyState> waiting, long limit) {
		for (KeyState key : waiting) {
			key.waiters().removeIf((waiter) -> waiter.sinceNanos() - limit < 0 && expire(key, waiter));
		}
	}

	private boolean expire(KeyState key, Waiter waiter) {
		Failure failure = ClaimFailures.unavailable(waiter.call(), retryAfterMs());
		if (waiter.call().firstAttempt()) {
			key.neverRun();
		}
		this.context.store().afterwards(() -> waiter.refuse(failure));
		return true;
	}

	// Forget old keys. The floor rises only to keys that were there, so that a clock that
	// ran ahead for a while does not keep refusing valid keys.
	private void forget(long forgetMs) {
		long newest = this.floorMs;
		Iterator<KeyState> all = this.keys.values().iterator();
		while (all.hasNext()) {
			KeyState key = all.next();
			if (key.key().timestampMs() <= forgetMs && this.outcomes.forget(key)) {
				newest = Math.max(newest, key.key().timestampMs());
				all.remove();
			}
		}
		this.floorMs = newest;
	}

	private void trim(long forgetMs) {
		if (this.state == State.OWNED && !this.log.busy() && !blocked()) {
			this.log.trim(forgetMs, this::recordWritten);
		}
	}

	private void finishRelease() {
		if (this.log.busy() || blocked() || !this.queue.isEmpty()) {
			return;
		}
		if (!this.sealed) {
			boolean waits = this.keys.values().stream().anyMatch((key) -> key.phase() == Phase.RUNNING);
			if (waits && this.context.nowNanos() - this.releaseAt < 0) {
				return;
			}
			List<SegmentEntry> ended = this.outcomes.take(Integer.MAX_VALUE);
			this.log.close(ended, (result) -> closeWritten(ended, result));
			return;
		}
		this.log.release(this::releaseWritten);
	}

	private void closeWritten(List<SegmentEntry> ended, Ended result) {
		if (result == Ended.NOT_WRITTEN) {
			this.outcomes.putBack(ended);
		}
		this.sealed = result == Ended.WRITTEN;
		recordWritten(result);
	}

	private void releaseWritten(Ended result) {
		if (result == Ended.WRITTEN) {
			EventLog.log(ClaimEvent.PARTITION_RELEASED, this.name);
			end();
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
		/** Being taken. */
		TAKING,
		/** Owned and served. */
		OWNED,
		/** Owned, takes no new keys and is being given up. */
		RELEASING

	}

}

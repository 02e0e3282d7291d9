package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.claim.CallClaims.Decision;
import org.acaciamux.internal.coordination.claim.KeyState.Phase;
import org.acaciamux.internal.coordination.claim.KeyState.Waiter;
import org.acaciamux.internal.coordination.claim.SegmentEntry.Type;

/**
 * Tracks what happens to keys after their claim is durable, and queues the entries that
 * record it in a later group. Losing such an entry is safe: the key then counts as
 * claimed with an unknown outcome. Guarded by the ledger's lock.
 */
final class KeyOutcomes {

	private final PartitionContext context;

	private final AnswerStore answers;

	private final List<SegmentEntry> pending = new ArrayList<>();

	private long oldestPendingAt;

	KeyOutcomes(PartitionContext context, AnswerStore answers) {
		this.context = context;
		this.answers = answers;
	}

	// Decide the waiting calls of a key whose claim or refusal is now durable.
	void onDurable(KeyState key, long floorMs) {
		if (key.phase() == Phase.REFUSING) {
			markRefused(key);
			return;
		}
		if (key.runForbidden() || key.key().timestampMs() <= floorMs) {
			markNotSent(key);
			return;
		}
		List<Waiter> waiters = key.takeWaiters();
		if (waiters.isEmpty()) {
			key.setPhase(Phase.UNSENT);
			return;
		}
		key.setPhase(Phase.RUNNING);
		for (Waiter waiter : waiters) {
			Decision decision = (waiter == waiters.get(0)) ? runDecision() : attachDecision(key);
			this.context.store().afterwards(() -> waiter.decision().complete(decision));
		}
	}

	// Record that a claimed call was not sent and never runs.
	void markNotSent(KeyState key) {
		record(Type.NOT_SENT, key, 0);
		markRefused(key);
	}

	private void markRefused(KeyState key) {
		key.setPhase(Phase.REFUSED);
		for (Waiter waiter : key.takeWaiters()) {
			Failure failure = ClaimFailures.refusedKey(waiter.call());
			this.context.store().afterwards(() -> waiter.refuse(failure));
		}
	}

	Decision runDecision() {
		this.context.metrics().runs().mark();
		return new Decision.Run();
	}

	Decision attachDecision(KeyState key) {
		this.context.metrics().attached().inc();
		return new Decision.Attach(key.end());
	}

	void answered(KeyState key, StoredAnswer answer) {
		key.answered(answer.status());
		this.answers.add(key, answer);
		record(Type.ANSWERED, key, answer.status());
		this.context.store().afterwards(() -> key.end().complete(Either.right(answer)));
	}

	void failed(KeyState key, CallClaims.KeyedCall call, Outcome outcome) {
		boolean notSent = outcome == Outcome.NOT_RUN;
		key.setPhase(notSent ? Phase.REFUSED : Phase.UNKNOWN);
		record(notSent ? Type.NOT_SENT : Type.UNKNOWN, key, 0);
		Failure failure = notSent ? ClaimFailures.refusedKey(call)
				: ClaimFailures.outcomeUnknown(call, "ended without an answer");
		this.context.store().afterwards(() -> key.end().complete(Either.left(failure)));
	}

	// Apply an entry of a loaded segment, unless this process has recorded newer state.
	void loadEntry(Map<String, KeyState> keys, SegmentEntry entry) {
		KeyState known = keys.get(entry.key().text());
		if (known == null) {
			Phase phase = (entry.type() == Type.REFUSED) ? Phase.REFUSED : Phase.UNKNOWN;
			keys.put(entry.key().text(), new KeyState(entry.key(), entry.digest(), phase));
			return;
		}
		if (known.phase() != Phase.UNKNOWN) {
			return;
		}
		if (entry.type() == Type.ANSWERED) {
			known.answered((int) entry.number());
		}
		else if (entry.type() == Type.NOT_SENT) {
			known.setPhase(Phase.REFUSED);
		}
	}

	// Drop the answer of a key and return true, or return false if the key must stay in
	// the table, because a write or its call is under way.
	boolean forgetIfSettled(KeyState key) {
		if (key.phase() == Phase.CLAIMING || key.phase() == Phase.REFUSING || key.phase() == Phase.RUNNING) {
			return false;
		}
		this.answers.remove(key);
		return true;
	}

	private void record(Type type, KeyState key, long number) {
		if (this.pending.isEmpty()) {
			this.oldestPendingAt = this.context.nowNanos();
		}
		this.pending.add(SegmentEntry.of(type, key.key(), number));
	}

	boolean writeDue(long now) {
		long delay = TimeUnit.MILLISECONDS.toNanos(this.context.settings().outcomeDelayMs());
		return !this.pending.isEmpty() && now - this.oldestPendingAt >= delay;
	}

	List<SegmentEntry> takePending(int limit) {
		List<SegmentEntry> head = this.pending.subList(0, Math.min(limit, this.pending.size()));
		List<SegmentEntry> taken = List.copyOf(head);
		head.clear();
		this.oldestPendingAt = this.context.nowNanos();
		return taken;
	}

	void putBack(List<SegmentEntry> entries) {
		this.pending.addAll(0, entries);
	}

	void clear() {
		this.pending.clear();
	}

}

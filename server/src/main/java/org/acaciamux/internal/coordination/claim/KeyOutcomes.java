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
 * Changes of keys after their claim is durable, and the entries that record them in a
 * later group. Losing such an entry is safe: the key then counts as claimed without a
 * known outcome. Guarded by the ledger's lock.
 */
final class KeyOutcomes {

	private final PartitionContext context;

	private final AnswerStore answers;

	private final List<SegmentEntry> waiting = new ArrayList<>();

	private long oldestSince;

	KeyOutcomes(PartitionContext context, AnswerStore answers) {
		this.context = context;
		this.answers = answers;
	}

	// The claim or the refusal of a key is written: decide for those who wait.
	void durable(KeyState key, long floorMs) {
		if (key.phase() == Phase.REFUSING) {
			refused(key);
			return;
		}
		if (key.mustNotRun() || key.key().timestampMs() <= floorMs) {
			notSent(key);
			return;
		}
		List<Waiter> waiters = key.takeWaiters();
		if (waiters.isEmpty()) {
			key.become(Phase.UNSENT);
			return;
		}
		key.become(Phase.RUNNING);
		for (Waiter waiter : waiters) {
			Decision decision = (waiter == waiters.get(0)) ? run() : attach(key);
			this.context.store().afterwards(() -> waiter.decision().complete(decision));
		}
	}

	// A claimed call was not sent and never runs.
	void notSent(KeyState key) {
		record(Type.NOT_SENT, key, 0);
		refused(key);
	}

	private void refused(KeyState key) {
		key.become(Phase.REFUSED);
		for (Waiter waiter : key.takeWaiters()) {
			Failure failure = ClaimFailures.refusedKey(waiter.call());
			this.context.store().afterwards(() -> waiter.refuse(failure));
		}
	}

	Decision run() {
		this.context.metrics().runs().mark();
		return new Decision.Run();
	}

	Decision attach(KeyState key) {
		this.context.metrics().attached().inc();
		return new Decision.Attach(key.end());
	}

	void answered(KeyState key, StoredAnswer answer) {
		key.answered(answer.status());
		this.answers.keep(key, answer);
		record(Type.ANSWERED, key, answer.status());
		this.context.store().afterwards(() -> key.end().complete(Either.right(answer)));
	}

	void failed(KeyState key, CallClaims.KeyedCall call, Outcome outcome) {
		boolean notSent = outcome == Outcome.NOT_RUN;
		key.become(notSent ? Phase.REFUSED : Phase.UNKNOWN);
		record(notSent ? Type.NOT_SENT : Type.UNKNOWN, key, 0);
		Failure failure = notSent ? ClaimFailures.refusedKey(call)
				: ClaimFailures.outcomeUnknown(call, "ended without an answer");
		this.context.store().afterwards(() -> key.end().complete(Either.left(failure)));
	}

	// Take over an entry of a loaded segment. What this process knows itself is newer.
	void load(Map<String, KeyState> keys, SegmentEntry entry) {
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
			known.become(Phase.REFUSED);
		}
	}

	boolean forget(KeyState key) {
		if (key.phase() == Phase.CLAIMING || key.phase() == Phase.REFUSING || key.phase() == Phase.RUNNING) {
			return false;
		}
		this.answers.forget(key);
		return true;
	}

	private void record(Type type, KeyState key, long number) {
		if (this.waiting.isEmpty()) {
			this.oldestSince = this.context.nowNanos();
		}
		this.waiting.add(SegmentEntry.of(type, key.key(), number));
	}

	boolean due(long now) {
		long delay = TimeUnit.MILLISECONDS.toNanos(this.context.settings().outcomeDelayMs());
		return !this.waiting.isEmpty() && now - this.oldestSince >= delay;
	}

	List<SegmentEntry> take(int limit) {
		List<SegmentEntry> head = this.waiting.subList(0, Math.min(limit, this.waiting.size()));
		List<SegmentEntry> taken = List.copyOf(head);
		head.clear();
		this.oldestSince = this.context.nowNanos();
		return taken;
	}

	void putBack(List<SegmentEntry> entries) {
		this.waiting.addAll(0, entries);
	}

	void clear() {
		this.waiting.clear();
	}

}

package org.acaciamux.internal.coordination.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;

import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.wire.SuspectEntry;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * Limits the damage from requests that crash backend servers. A suspect runs in
 * isolation: it needs the only isolation slot of this agent. Invariants: at most one
 * suspect runs here at a time, only on the designated server unless no other agent may
 * run it, and never on the last healthy server; a quarantined request does not run; at
 * most {@link #LIMIT} entries are kept. Thread-safe.
 */
public final class SuspectTable {

	/** Largest number of entries. */
	public static final int LIMIT = 256;

	/** How long an entry is kept after its last crash or clearing, in milliseconds. */
	public static final long KEEP_MS = 600_000;

	/**
	 * Remaining lifetime in milliseconds below which an entry of another agent is
	 * ignored, so that entries cannot keep circulating between agents.
	 */
	private static final long MIN_MERGE_TTL_MS = 1_000;

	private static final long RETRY_MS = 1_000;

	private final RankedLock lock = new RankedLock(LockRank.SUSPECT_TABLE);

	private final Map<Long, Suspect> suspects = new HashMap<>();

	private final String self;

	private final LongFunction<Optional<String>> designated;

	private volatile Runnable onChange = () -> {
	};

	/**
	 * The fingerprint of the suspect that holds the isolation slot, null if none does.
	 */
	private Long isolated;

	private volatile boolean empty = true;

	/**
	 * Create an empty table.
	 * @param self the id of this agent's VM
	 * @param designated returns the id of the agent that may run a suspect: the first of
	 * the pool's healthy agents by rendezvous hash of the fingerprint. Called without
	 * holding a lock
	 */
	public SuspectTable(String self, LongFunction<Optional<String>> designated) {
		this.self = self;
		this.designated = designated;
	}

	/**
	 * Set the action to run after a crash or a clearing was recorded on this agent; it is
	 * called without holding a lock. The load exchange should send the entries at once,
	 * because the caller may send the request again before the next round.
	 * @param action the action; must not block
	 */
	public void onChange(Runnable action) {
		this.onChange = action;
	}

	/**
	 * Return whether the table has no entries, so that fingerprints need not be computed.
	 * @return whether the table is empty
	 */
	public boolean isEmpty() {
		return this.empty;
	}

	/**
	 * Decide whether a request may run here. A suspect that may run takes the isolation
	 * slot. The caller must call {@link #leave} once after every {@link Kind#ISOLATED}.
	 * @param fingerprint the request's fingerprint
	 * @param pinned whether no other agent may run the request, as with keyed calls
	 * @param otherHealthy other healthy servers of the pool
	 * @param nowMs the time
	 * @return the verdict
	 */
	public Verdict enter(long fingerprint, boolean pinned, int otherHealthy, long nowMs) {
		return decide(fingerprint, pinned, otherHealthy, nowMs, false);
	}

	/**
	 * Decide again about a request that holds the isolation slot and is about to be sent.
	 * @param fingerprint the request's fingerprint
	 * @param pinned whether no other agent may run the request, as with keyed calls
	 * @param otherHealthy other healthy servers of the pool
	 * @param nowMs the time
	 * @return the verdict; whatever it is, the slot is held until {@link #leave}
	 */
	public Verdict confirm(long fingerprint, boolean pinned, int otherHealthy, long nowMs) {
		return decide(fingerprint, pinned, otherHealthy, nowMs, true);
	}

	private Verdict decide(long fingerprint, boolean pinned, int otherHealthy, long nowMs, boolean holding) {
		if (this.empty) {
			return Verdict.FREE;
		}
		Optional<String> target = pinned ? Optional.of(this.self) : this.designated.apply(fingerprint);
		return this.lock.get(() -> {
			expire(nowMs);
			Suspect suspect = this.suspects.get(fingerprint);
			if (suspect == null || !suspect.isSuspect()) {
				return Verdict.FREE;
			}
			Verdict verdict = evaluate(suspect, target, otherHealthy, nowMs);
			boolean available = holding || this.isolated == null;
			if (verdict.kind() == Kind.ISOLATED && available) {
				this.isolated = fingerprint;
				return verdict;
			}
			return (verdict.kind() == Kind.ISOLATED) ? new Verdict(Kind.BUSY, "", RETRY_MS) : verdict;
		});
	}

	private Verdict evaluate(Suspect suspect, Optional<String> target, int otherHealthy, long nowMs) {
		if (suspect.isQuarantined()) {
			return new Verdict(Kind.QUARANTINED, "", Math.max(1, suspect.expiresMs() - nowMs));
		}
		if (otherHealthy < 1 || target.isEmpty()) {
			return new Verdict(Kind.LAST_HEALTHY, "", RETRY_MS);
		}
		if (!target.get().equals(this.self)) {
			return new Verdict(Kind.ELSEWHERE, target.get(), RETRY_MS);
		}
		return new Verdict(Kind.ISOLATED, "", RETRY_MS);
	}

	/**
	 * Release the isolation slot, if the request holds it.
	 * @param fingerprint the request's fingerprint
	 */
	public void leave(long fingerprint) {
		this.lock.run(() -> {
			if (this.isolated != null && this.isolated == fingerprint) {
				this.isolated = null;
			}
		});
	}

	/**
	 * Record that the backend server completed a request, which clears a suspect.
	 * @param fingerprint the request's fingerprint
	 * @param nowMs the time
	 */
	public void completed(long fingerprint, long nowMs) {
		boolean cleared = this.lock.get(() -> {
			Suspect suspect = this.suspects.get(fingerprint);
			boolean wasSuspect = suspect != null && suspect.isSuspect();
			if (wasSuspect) {
				put(suspect.clear(nowMs + KEEP_MS));
			}
			return wasSuspect;
		});
		if (cleared) {
			EventLog.log(QuarantineEvent.CLEARED, fingerprint);
			this.onChange.run();
		}
	}

	/**
	 * Record that the backend server crashed; the requests in flight become suspects.
	 * @param inFlight the fingerprints of the requests that it was running
	 * @param nowMs the time
	 */
	public void crashed(Collection<Long> inFlight, long nowMs) {
		Set<Long> distinct = new HashSet<>(inFlight);
		if (distinct.isEmpty()) {
			return;
		}
		EventLog.log(QuarantineEvent.SUSPECTED, distinct.size());
		this.lock.run(() -> distinct.forEach((fingerprint) -> {
			Suspect known = this.suspects.getOrDefault(fingerprint, new Suspect(fingerprint, 0, 0, 0, false, 0));
			Suspect next = known.crashed(distinct.size() == 1, nowMs + KEEP_MS);
			put(next);
			logQuarantine(known, next, nowMs);
		}));
		this.onChange.run();
	}

	private static void logQuarantine(Suspect known, Suspect next, long nowMs) {
		if (next.isQuarantined() && !known.isQuarantined()) {
			EventLog.log(QuarantineEvent.QUARANTINED, next.fingerprint(), next.expiresMs() - nowMs, next.total(),
					next.alone());
		}
	}

	private void put(Suspect suspect) {
		this.suspects.put(suspect.fingerprint(), suspect);
		this.empty = false;
		if (this.suspects.size() > LIMIT) {
			Suspect dropped = this.suspects.values().stream().min(Suspect.LEAST_IMPORTANT_FIRST).orElseThrow();
			this.suspects.remove(dropped.fingerprint());
			EventLog.log(QuarantineEvent.EVICTED, dropped.fingerprint());
		}
	}

	private void expire(long nowMs) {
		this.suspects.values().removeIf((suspect) -> suspect.expiresMs() <= nowMs);
		this.empty = this.suspects.isEmpty();
	}

	/**
	 * Return the entries to send to the other agents.
	 * @param nowMs the time
	 * @return at most {@link #LIMIT} entries
	 */
	public List<SuspectEntry> entries(long nowMs) {
		return this.lock.get(() -> {
			expire(nowMs);
			List<SuspectEntry> entries = new ArrayList<>();
			this.suspects.values().forEach((suspect) -> entries.add(suspect.toWire(nowMs, runningAt(suspect))));
			entries.sort(Comparator.comparingLong(SuspectEntry::getFingerprint));
			return entries;
		});
	}

	private String runningAt(Suspect suspect) {
		boolean here = this.isolated != null && this.isolated == suspect.fingerprint();
		return here ? this.self : "";
	}

	/**
	 * Merge the entries of another agent.
	 * @param entries the entries
	 * @param nowMs the time
	 */
	public void merge(List<SuspectEntry> entries, long nowMs) {
		this.lock.run(() -> {
			expire(nowMs);
			for (SuspectEntry entry : entries) {
				Suspect other = Suspect.fromWire(entry, nowMs);
				if (other.expiresMs() - nowMs >= MIN_MERGE_TTL_MS) {
					Suspect known = this.suspects.get(other.fingerprint());
					put((known != null) ? known.merge(other) : other);
				}
			}
		});
	}

	/**
	 * Kind of a verdict. Immutable and thread-safe.
	 */
	public enum Kind {

		/** It is not a suspect. */
		FREE,
		/** It is a suspect and may run here now. */
		ISOLATED,
		/** It is a suspect and another one holds the isolation slot: retry later. */
		BUSY,
		/** It is a suspect and another server is designated to run it. */
		ELSEWHERE,
		/** It is a suspect and no other healthy server is known: retry later. */
		LAST_HEALTHY,
		/**
		 * It was in flight in too many crashes and is refused until its entry expires.
		 */
		QUARANTINED;

		/**
		 * Return whether the request may run here.
		 * @return whether it is no suspect or has the isolation slot
		 */
		public boolean mayRun() {
			return this == FREE || this == ISOLATED;
		}

	}

	/**
	 * A decision about a request. Immutable and thread-safe.
	 *
	 * @param kind the kind
	 * @param designated the id of the VM that may run the request if it is another one,
	 * otherwise empty
	 * @param retryAfterMs the time after which to send the request again, in milliseconds
	 */
	public record Verdict(Kind kind, String designated, long retryAfterMs) {

		/** The verdict on a request that is no suspect. */
		public static final Verdict FREE = new Verdict(Kind.FREE, "", 0);

	}

}

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
 * Limits the damage of requests that crash backend servers. Invariants: at most one
 * suspect runs here at a time, only on the designated server, and never on the last
 * healthy one; a quarantined request does not run; at most {@link #LIMIT} entries are
 * kept. Thread-safe.
 */
public final class SuspectTable {

	/** Largest number of entries. */
	public static final int LIMIT = 256;

	/** How long an entry is kept after the last crash or the clearing. */
	public static final long KEEP_MS = 600_000;

	/** Entries that expire sooner are not taken over, so that they cannot circulate. */
	private static final long MIN_TAKEOVER_MS = 1_000;

	private static final long RETRY_MS = 1_000;

	private final RankedLock lock = new RankedLock(LockRank.SUSPECT_TABLE);

	private final Map<Long, Suspect> suspects = new HashMap<>();

	private final String self;

	private final LongFunction<Optional<String>> designated;

	private volatile Runnable onNews = () -> {
	};

	private Long isolated;

	private volatile boolean empty = true;

	/**
	 * Create an empty table.
	 * @param self the id of this agent's VM
	 * @param designated finds the id of the agent that may run a suspect: the first of
	 * the pool's healthy agents by rendezvous hash of the fingerprint. Called without a
	 * lock
	 */
	public SuspectTable(String self, LongFunction<Optional<String>> designated) {
		this.self = self;
		this.designated = designated;
	}

	/**
	 * Set what is called, without a lock, when a crash or a clearing was noted here. The
	 * load exchange should send the entries at once, because the caller may send the
	 * request again before the next round.
	 * @param action the action; must not block
	 */
	public void onNews(Runnable action) {
		this.onNews = action;
	}

	/**
	 * Return whether no request is suspect, so that fingerprints need not be computed.
	 * @return whether the table is empty
	 */
	public boolean isEmpty() {
		return this.empty;
	}

	/**
	 * Decide whether a request may run here, and if it is a suspect, take the only place
	 * for suspects. Every {@link Kind#ISOLATED} is followed by one {@link #leave}.
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
	 * Decide again about a request that holds the place for suspects and is about to be
	 * sent.
	 * @param fingerprint the request's fingerprint
	 * @param pinned whether no other agent may run the request, as with keyed calls
	 * @param otherHealthy other healthy servers of the pool
	 * @param nowMs the time
	 * @return the verdict; the place is held until {@link #leave} whatever it is
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
			Verdict verdict = judge(suspect, target, otherHealthy, nowMs);
			boolean free = holding || this.isolated == null;
			if (verdict.kind() == Kind.ISOLATED && free) {
				this.isolated = fingerprint;
				return verdict;
			}
			return (verdict.kind() == Kind.ISOLATED) ? new Verdict(Kind.BUSY, "", RETRY_MS) : verdict;
		});
	}

	private Verdict judge(Suspect suspect, Optional<String> target, int otherHealthy, long nowMs) {
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
	 * The isolated run is over.
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
	 * The backend server completed a request; if it was a suspect, it no longer is one.
	 * @param fingerprint the request's fingerprint
	 * @param nowMs the time
	 */
	public void completed(long fingerprint, long nowMs) {
		boolean cleared = this.lock.get(() -> {
			Suspect suspect = this.suspects.get(fingerprint);
			boolean found = suspect != null && suspect.isSuspect();
			if (found) {
				put(suspect.clear(nowMs + KEEP_MS));
			}
			return found;
		});
		if (cleared) {
			EventLog.log(QuarantineEvent.CLEARED, fingerprint);
			this.onNews.run();
		}
	}

	/**
	 * The backend server crashed.
	 * @param inFlight the fingerprints of the requests that it ran
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
		this.onNews.run();
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
	 * Return the entries for the other agents.
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
	 * Take over what another agent knows.
	 * @param entries its entries
	 * @param nowMs the time
	 */
	public void merge(List<SuspectEntry> entries, long nowMs) {
		this.lock.run(() -> {
			expire(nowMs);
			for (SuspectEntry entry : entries) {
				Suspect other = Suspect.fromWire(entry, nowMs);
				if (other.expiresMs() - nowMs >= MIN_TAKEOVER_MS) {
					Suspect known = this.suspects.get(other.fingerprint());
					put((known != null) ? known.merge(other) : other);
				}
			}
		});
	}

	/**
	 * What to do with a request. Immutable and thread-safe.
	 */
	public enum Kind {

		/** It is not a suspect. */
		FREE,
		/** It is a suspect and may run here now. */
		ISOLATED,
		/** Another suspect runs here: come back later. */
		BUSY,
		/** Another server is designated to run it. */
		ELSEWHERE,
		/** This is the last healthy server: come back later. */
		LAST_HEALTHY,
		/** It is refused. */
		QUARANTINED;

		/**
		 * Return whether the request may run here.
		 * @return whether nothing stands against it
		 */
		public boolean mayRun() {
			return this == FREE || this == ISOLATED;
		}

	}

	/**
	 * A verdict. Immutable and thread-safe.
	 *
	 * @param kind the kind
	 * @param designated the VM that may run the request, if it is another one
	 * @param retryAfterMs when to come back in milliseconds
	 */
	public record Verdict(Kind kind, String designated, long retryAfterMs) {

		/** The verdict on a request that is no suspect. */
		public static final Verdict FREE = new Verdict(Kind.FREE, "", 0);

	}

}

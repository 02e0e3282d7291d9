package org.acaciamux.internal.coordination.direct;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.BrokenResponse.Doubt;
import org.acaciamux.internal.coordination.direct.CrashObserver.Change;

/**
 * Requests that were running when a backend server crashed. Guards against a request that
 * crashes every server that runs it while its caller resends it through any router.
 * Invariants: a request is refused only while it was in flight at
 * {@link #CRASHES_TO_REFUSE} different servers that crashed, or of which it is not known
 * yet whether they did; without a sign of a crash, responses that end with their
 * connection refuse nothing; at most {@link #MAX_ENTRIES} suspects and
 * {@link #MAX_BROKEN_RESPONSES} broken responses are kept. Confined to the event loop.
 */
public final class CrashSuspects {

	/** A request that was running on this many crashed servers is refused. */
	static final int CRASHES_TO_REFUSE = 3;

	/**
	 * Largest number of suspects and of cleared fingerprints. Of the suspects, the one
	 * with the fewest crashes is evicted, so that the many requests of one loaded server
	 * do not push out a request that crashes every server.
	 */
	static final int MAX_ENTRIES = 256;

	/**
	 * Largest number of entries in a message, about 150 bytes each: a datagram of a few
	 * packets arrives over a lossy link, and four a second do not fill a slow one.
	 */
	static final int MAX_REPORTED = 32;

	/** Number of messages that report a new crash, because some are lost. */
	public static final int URGENT_REPORTS = 4;

	/** Number of messages that report each record when a router has returned. */
	private static final int RETURN_REPORTS = 2;

	/**
	 * Largest number of entries in a message that are reported in turn only: once a crash
	 * has been reported, its record uses little of a slow link.
	 */
	static final int MAX_REPORTED_IN_TURN = 8;

	/**
	 * Largest number of broken responses whose server may yet turn out to have crashed:
	 * several loaded servers at once.
	 */
	static final int MAX_BROKEN_RESPONSES = 1_024;

	/**
	 * How long a crash counts, in nanoseconds: callers resend within minutes. Agents
	 * quarantine a request for the same time.
	 */
	private static final long KEEP_NANOS = 600_000_000_000L;

	/**
	 * Time after a broken response in which the end of its server's lifetime counts as a
	 * crash, in nanoseconds: the directory removes a server after up to 5 s of silence.
	 */
	private static final long CONFIRM_NANOS = 5_000_000_000L;

	private static final long NANOS_PER_MS = 1_000_000;

	/** Suspects by fingerprint, those that were reported last at the end. */
	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	private final List<BrokenResponse> brokenResponses = new ArrayList<>();

	private final NanoClock clock;

	private final CrashObserver observer;

	/**
	 * Create an empty table.
	 * @param clock the monotonic clock
	 * @param observer learns what is recorded and forgotten
	 */
	public CrashSuspects(NanoClock clock, CrashObserver observer) {
		this.clock = clock;
		this.observer = observer;
	}

	/**
	 * Record that a response broke off. It counts as a crash only if the server's
	 * lifetime ends soon after, because a response can also break off without a crash.
	 * @param fingerprint the request's fingerprint
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 */
	public void brokeOff(long fingerprint, String server) {
		suspect(fingerprint, server, Doubt.BROKEN);
	}

	/**
	 * Record that a response ended with its connection, and has neither a length nor
	 * chunks. Counts like a broken one, except that this alone does not refuse a request.
	 * @param fingerprint the request's fingerprint
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 */
	public void endedWithConnection(long fingerprint, String server) {
		suspect(fingerprint, server, Doubt.ENDED);
	}

	private void suspect(long fingerprint, String server, Doubt doubt) {
		long now = this.clock.nanoTime();
		expireBrokenResponses(now);
		this.observer.changed(Change.SUSPECTED, subject(fingerprint), "server=" + server);
		this.brokenResponses.add(new BrokenResponse(fingerprint, server, now, doubt));
		if (this.brokenResponses.size() > MAX_BROKEN_RESPONSES) {
			evictBrokenResponse();
		}
	}

	private static String subject(long fingerprint) {
		return "fingerprint=" + Long.toHexString(fingerprint);
	}

	private void evictBrokenResponse() {
		BrokenResponse evicted = this.brokenResponses.stream()
			.filter((broken) -> crashes(broken.fingerprint()).size() == 0)
			.findFirst()
			.orElse(this.brokenResponses.get(0));
		this.brokenResponses.remove(evicted);
		this.observer.changed(Change.EVICTED, subject(evicted.fingerprint()), "server=" + evicted.server());
	}

	private void expireBrokenResponses(long now) {
		this.brokenResponses.removeIf((broken) -> {
			boolean expired = now - broken.at() > CONFIRM_NANOS;
			if (expired) {
				this.observer.changed(Change.UNCONFIRMED, subject(broken.fingerprint()), "server=" + broken.server());
			}
			return expired;
		});
	}

	/**
	 * Record that a server was found to live after a response of it broke off. Its broken
	 * responses count again only if the directory shows that it was restarted.
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 */
	public void lives(String server) {
		this.brokenResponses.replaceAll((broken) -> broken.server().equals(server) ? broken.withoutDoubt() : broken);
	}

	/**
	 * Record that a server's lifetime ended without notice: it cannot be reached, its
	 * directory entry shows a restart or is gone, or another server answers in its place.
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 */
	public void lifetimeEnded(String server) {
		long now = this.clock.nanoTime();
		expireBrokenResponses(now);
		List<BrokenResponse> confirmed = this.brokenResponses.stream()
			.filter((broken) -> broken.server().equals(server))
			// Known suspects first, before new ones evict them.
			.sorted(Comparator.comparing((broken) -> crashes(broken.fingerprint()).size() == 0))
			.toList();
		this.brokenResponses.removeAll(confirmed);
		for (BrokenResponse broken : confirmed) {
			int crashes = recordCrash(broken.fingerprint(), server);
			this.observer.changed(Change.CONFIRMED, subject(broken.fingerprint()),
					"server=" + server + " crashes=" + crashes + " afterMs=" + (now - broken.at()) / NANOS_PER_MS);
		}
	}

	/**
	 * Record that a request was running when a server crashed.
	 * @param fingerprint the request's fingerprint
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 * @return how many crashed servers are known for the request
	 */
	int recordCrash(long fingerprint, String server) {
		int crashes = recordCrash(fingerprint, server, this.clock.nanoTime());
		reportSoon(fingerprint, URGENT_REPORTS);
		return crashes;
	}

	private void reportSoon(long fingerprint, int reports) {
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect != null) {
			suspect.urgentReports = Math.max(suspect.urgentReports, reports);
		}
	}

	/**
	 * Report all records in the next messages, because a router that did not receive the
	 * last ones has returned.
	 */
	public void reportAllSoon() {
		this.suspects.keySet().forEach((fingerprint) -> reportSoon(fingerprint, RETURN_REPORTS));
	}

	private int recordCrash(long fingerprint, String server, long at) {
		Suspect suspect = this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspect());
		suspect.crashes.putIfAbsent(server, at);
		evictSuspects();
		return suspect.crashes.size();
	}

	private void evictSuspects() {
		if (this.suspects.size() <= MAX_ENTRIES) {
			return;
		}
		long now = this.clock.nanoTime();
		Comparator<Suspect> fewestCrashesFirst = Comparator.<Suspect>comparingInt((suspect) -> suspect.crashes.size())
			.thenComparing(Comparator.comparingLong((Suspect suspect) -> suspect.lastAgeNanos(now)).reversed());
		Map.Entry<Long, Suspect> evicted = Collections.min(this.suspects.entrySet(),
				Map.Entry.comparingByValue(fewestCrashesFirst));
		this.suspects.remove(evicted.getKey());
		this.observer.changed(Change.EVICTED, subject(evicted.getKey()),
				"crashes=" + evicted.getValue().crashes.size());
	}

	/**
	 * Add crashes that another router has recorded. Expired ones are ignored, so that
	 * entries do not circulate between routers forever.
	 * @param fingerprint the request's fingerprint
	 * @param crashes the crashes
	 */
	public void merge(long fingerprint, Crashes crashes) {
		long now = this.clock.nanoTime();
		crashes.clearedAgeMs().ifPresent((ageMs) -> clear(fingerprint, now - ageMs * NANOS_PER_MS));
		crashes.ageMs().forEach((server, ageMs) -> {
			long at = now - ageMs * NANOS_PER_MS;
			Suspect known = this.suspects.get(fingerprint);
			if (now - at > KEEP_NANOS
					|| known != null && (known.clearedSince(at) || known.crashes.containsKey(server))) {
				return;
			}
			int count = recordCrash(fingerprint, server, at);
			reportSoon(fingerprint, 1);
			this.observer.changed(Change.LEARNED, subject(fingerprint),
					"server=" + server + " crashes=" + count + " ageMs=" + ageMs);
		});
	}

	/**
	 * Record that a request completed, which clears its crashes.
	 * @param fingerprint the request's fingerprint
	 */
	public void completed(long fingerprint) {
		if (crashes(fingerprint).size() > 0) {
			clear(fingerprint, this.clock.nanoTime());
			reportSoon(fingerprint, URGENT_REPORTS);
		}
	}

	// Keeps the time of the completion, because other routers still report the crashes.
	private void clear(long fingerprint, long at) {
		boolean expired = this.clock.nanoTime() - at > KEEP_NANOS;
		Suspect suspect = expired ? null : this.suspects.computeIfAbsent(fingerprint, (key) -> new Suspect());
		if (suspect == null || suspect.clearedSince(at)) {
			return;
		}
		int crashes = suspect.clear(at);
		if (crashes > 0) {
			this.observer.changed(Change.CLEARED, subject(fingerprint), "crashes=" + crashes);
		}
		evictSuspects();
	}

	/**
	 * Return whether a request is to be refused.
	 * @param fingerprint the request's fingerprint
	 * @return whether it has crashed too many servers, or may have
	 */
	public boolean shouldRefuse(long fingerprint) {
		return possibleCrashCount(fingerprint) >= CRASHES_TO_REFUSE;
	}

	/**
	 * Return at how many servers that crashed, or may have, a request was running.
	 * @param fingerprint the request's fingerprint
	 * @return the number, at least 0
	 */
	public int possibleCrashCount(long fingerprint) {
		Set<String> servers = new HashSet<>(crashes(fingerprint).keySet());
		boolean crashKnown = !servers.isEmpty();
		expireBrokenResponses(this.clock.nanoTime());
		this.brokenResponses.stream()
			.filter((broken) -> broken.fingerprint() == fingerprint && broken.doubt().counts(crashKnown))
			.forEach((broken) -> servers.add(broken.server()));
		return servers.size();
	}

	/**
	 * Return whether one more crash would make a request refused, apart from those of
	 * which it is not known yet whether they were crashes. Such a request is not sent
	 * again after a broken response.
	 * @param fingerprint the request's fingerprint
	 * @return whether it would be refused after another crash
	 */
	public boolean oneCrashFromRefusal(long fingerprint) {
		return crashes(fingerprint).size() >= CRASHES_TO_REFUSE - 1;
	}

	/**
	 * Return how long a request is still refused if it does not crash another server.
	 * @param fingerprint the request's fingerprint
	 * @return the time in milliseconds, 0 if it is not refused or only until it is known
	 * whether servers crashed
	 */
	public long refusedForMs(long fingerprint) {
		long now = this.clock.nanoTime();
		return crashes(fingerprint).values()
			.stream()
			.map((at) -> (KEEP_NANOS - (now - at)) / NANOS_PER_MS + 1)
			.sorted(Comparator.reverseOrder())
			.skip(CRASHES_TO_REFUSE - 1)
			.findFirst()
			.orElse(0L);
	}

	private Map<String, Long> crashes(long fingerprint) {
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect == null) {
			return Map.of();
		}
		suspect.expire(this.clock.nanoTime());
		return suspect.crashes;
	}

	/**
	 * List crashes for the next message to the other routers: new ones in the next
	 * {@link #URGENT_REPORTS} messages, those that another router reported in one, so
	 * that they arrive also if two routers do not hear each other, and the others in
	 * turn.
	 * @return the crashes of at most {@link #MAX_REPORTED} requests, by fingerprint
	 */
	public Map<Long, Crashes> report() {
		long now = this.clock.nanoTime();
		this.suspects.values().forEach((suspect) -> suspect.expire(now));
		this.suspects.values().removeIf(Suspect::isEmpty);
		long urgent = this.suspects.values().stream().filter((suspect) -> suspect.urgentReports > 0).count();
		List<Long> next = this.suspects.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue(Suspect.MOST_URGENT_FIRST))
			.limit(Math.max(MAX_REPORTED_IN_TURN, Math.min(MAX_REPORTED, urgent)))
			.map(Map.Entry::getKey)
			.toList();
		Map<Long, Crashes> result = new HashMap<>();
		for (Long fingerprint : next) {
			Suspect suspect = this.suspects.remove(fingerprint);
			result.put(fingerprint, suspect.report(now));
			this.suspects.put(fingerprint, suspect);
		}
		return result;
	}

	/**
	 * List the crashes of the requests with the most crashes, for a router that starts.
	 * @param limit largest number of requests
	 * @return the crashes by fingerprint
	 */
	public Map<Long, Crashes> mostCrashes(int limit) {
		long now = this.clock.nanoTime();
		Map<Long, Crashes> result = new HashMap<>();
		this.suspects.entrySet()
			.stream()
			.filter((entry) -> crashes(entry.getKey()).size() > 0)
			.sorted(Comparator.comparingInt((entry) -> -entry.getValue().crashes.size()))
			.limit(limit)
			.forEach((entry) -> result.put(entry.getKey(), entry.getValue().crashes(now)));
		return result;
	}

	/**
	 * Crashes of servers that were running one request. Immutable and thread-safe.
	 *
	 * @param ageMs milliseconds since the crash, by server
	 * @param clearedAgeMs milliseconds since the request completed in spite of earlier
	 * crashes, empty if it did not
	 */
	public record Crashes(Map<String, Long> ageMs, OptionalLong clearedAgeMs) {
	}

	private static final class Suspect {

		private static final Comparator<Suspect> MOST_URGENT_FIRST = Comparator
			.<Suspect>comparingInt((suspect) -> (suspect.urgentReports > 0) ? 0 : 1)
			.thenComparingInt((suspect) -> (suspect.urgentReports > 0) ? -suspect.crashes.size() : 0)
			.thenComparingInt((suspect) -> -suspect.urgentReports);

		/** Monotonic times of the crashes in nanoseconds, by server. */
		private final Map<String, Long> crashes = new HashMap<>();

		/**
		 * Monotonic time in nanoseconds of the last completion after a crash, null if
		 * there was none.
		 */
		private Long clearedAt;

		private int urgentReports;

		private void expire(long now) {
			this.crashes.values().removeIf((at) -> now - at > KEEP_NANOS);
			if (this.clearedAt != null && now - this.clearedAt > KEEP_NANOS) {
				this.clearedAt = null;
			}
		}

		private boolean isEmpty() {
			return this.crashes.isEmpty() && this.clearedAt == null;
		}

		private boolean clearedSince(long at) {
			return this.clearedAt != null && this.clearedAt - at >= 0;
		}

		private int clear(long at) {
			int before = this.crashes.size();
			this.clearedAt = at;
			this.crashes.values().removeIf(this::clearedSince);
			return before - this.crashes.size();
		}

		private long lastAgeNanos(long now) {
			return this.crashes.values().stream().mapToLong((at) -> now - at).min().orElse(Long.MAX_VALUE);
		}

		private Crashes report(long now) {
			this.urgentReports = Math.max(0, this.urgentReports - 1);
			return crashes(now);
		}

		private Crashes crashes(long now) {
			Map<String, Long> ageMs = new HashMap<>();
			this.crashes.forEach((server, at) -> ageMs.put(server, (now - at) / NANOS_PER_MS));
			return new Crashes(ageMs, (this.clearedAt != null) ? OptionalLong.of((now - this.clearedAt) / NANOS_PER_MS)
					: OptionalLong.empty());
		}

	}

}

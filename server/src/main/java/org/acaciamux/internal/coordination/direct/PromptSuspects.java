package org.acaciamux.internal.coordination.direct;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.direct.CrashObserver.Change;
import org.acaciamux.internal.state.StableHash;

/**
 * Prompt parts whose requests were running when backend servers crashed. Guards against
 * one part that crashes every server that begins to write a response to it, in requests
 * that are otherwise different. A crash makes all parts suspects of the runs that the
 * server had not proved harmless; a proved run that began after the crash clears its
 * parts, at every router. What remains is the part that no server survives. Parts that
 * always travel with it are tried alone when a request without it comes.
 * <p>
 * Invariants: a run clears only crashes before its response began. A router that learns
 * of a crash takes it for later than it was, and of a clearing by the server's lifetime,
 * so that an old completion cannot clear a newer crash. At most {@link #MAX_PARTS} parts
 * that were at crashes are kept. Confined to the event loop.
 */
public final class PromptSuspects {

	/** Number of crashes from which on a part runs only as far as others prove it. */
	static final int CRASHES_TO_LIMIT = 2;

	/**
	 * Number of crashes of a part, apart from those that a part outside of the request
	 * may have caused, from which on the request is refused: one may be a coincidence.
	 */
	private static final int UNEXPLAINED_CRASHES_TO_REFUSE = 2;

	/** Largest number of parts. The one with the fewest crashes is evicted. */
	static final int MAX_PARTS = 256;

	/**
	 * Largest number of parts in a message: most have one crash, about 80 bytes with the
	 * part.
	 */
	static final int MAX_REPORTED = 24;

	/**
	 * Number of crashes from which on a message takes no more parts, about 60 bytes each:
	 * a message of a few packets arrives over a lossy or slow link.
	 */
	static final int MAX_REPORTED_CRASHES = 48;

	/** Largest number of parts in a message that are reported in turn only. */
	static final int MAX_REPORTED_IN_TURN = 4;

	/** Number of messages that report a change, because some are lost. */
	static final int URGENT_REPORTS = 4;

	/** Number of messages that report each part when a router has returned. */
	private static final int RETURN_REPORTS = 2;

	/** Longest identity of a part that is kept as it is; a hash replaces longer ones. */
	private static final int MAX_ID_LENGTH = 64;

	private static final long NANOS_PER_MS = 1_000_000;

	/** Parts that were at crashes, those that were reported last at the end. */
	private final Map<String, SuspectPart> parts = new LinkedHashMap<>();

	/** Runs of this router that have not ended. */
	private final Set<PromptRun> runs = new HashSet<>();

	private final BrokenRuns brokenRuns = new BrokenRuns();

	private final ProvedParts provedParts = new ProvedParts();

	private final PartTraffic traffic = new PartTraffic();

	private final NanoClock clock;

	private final CrashObserver observer;

	/**
	 * Create an empty table.
	 * @param clock the monotonic clock
	 * @param observer learns what is recorded and forgotten
	 */
	public PromptSuspects(NanoClock clock, CrashObserver observer) {
		this.clock = clock;
		this.observer = observer;
	}

	/**
	 * Return the identities of the parts that a request shares with others. The last part
	 * belongs to the request or its chat alone.
	 * @param prompt the parts of its prompt
	 * @return the identities
	 */
	public static Set<String> sharedParts(List<PromptPart> prompt) {
		Set<String> result = new LinkedHashSet<>();
		for (int i = 0; i < prompt.size() - 1; i++) {
			String id = prompt.get(i).id();
			result.add((id.length() <= MAX_ID_LENGTH) ? id : Long.toHexString(StableHash.of(id)));
		}
		return result;
	}

	/**
	 * Record that a request is being sent to a server.
	 * @param service the service of the server
	 * @param shared what {@link #sharedParts} returned
	 * @return the run, which must be ended
	 */
	public PromptRun started(String service, Set<String> shared) {
		Set<String> suspects = new HashSet<>(shared);
		suspects.removeIf((part) -> openServers(part).isEmpty());
		PromptRun run = new PromptRun(this, service, shared, suspects, this.clock.nanoTime());
		if (!shared.isEmpty()) {
			this.runs.add(run);
			this.traffic.started(service, shared);
		}
		return run;
	}

	void ended(PromptRun run) {
		this.runs.remove(run);
	}

	/**
	 * Record that a response broke off. Its parts are suspects if the server's lifetime
	 * ends soon after, unless the run was proved.
	 * @param run the run
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 */
	public void brokeOff(PromptRun run, String server) {
		if (!run.suspect() || run.parts().isEmpty()) {
			return;
		}
		this.brokenRuns.add(run, server, this.clock.nanoTime());
	}

	/**
	 * Record that a server was found to live after a response of it broke off.
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 */
	public void lives(String server) {
		this.brokenRuns.lives(server);
	}

	/**
	 * Record that a server's lifetime ended without notice.
	 * @param server the {@link ServerState#observedLifetime()} of the server
	 */
	public void lifetimeEnded(String server) {
		for (BrokenRuns.BrokenRun broken : this.brokenRuns.take(server, this.clock.nanoTime())) {
			PromptRun run = broken.run();
			for (String id : run.parts()) {
				record(id, server,
						new SuspectPart.Crash(run.service(), broken.at(), broken.at(), run.wasSuspect(id), false),
						Change.CONFIRMED);
			}
		}
	}

	private void changed(Change change, String id, String server) {
		SuspectPart part = this.parts.get(id);
		this.observer.changed(change, "part=" + id,
				"server=" + server + " crashes=" + ((part != null) ? part.openCrashes() : 0));
	}

	private void record(String id, String server, SuspectPart.Crash crash, Change change) {
		SuspectPart part = this.parts.computeIfAbsent(id, (key) -> new SuspectPart());
		if (part.record(server, crash)) {
			part.reportSoon((change == Change.CONFIRMED) ? URGENT_REPORTS : 1);
			changed(change, id, server);
			clear(id, part, (known) -> this.provedParts.provedAfter(known.service(), id, known.at()));
		}
		evict();
	}

	private void evict() {
		if (this.parts.size() <= MAX_PARTS) {
			return;
		}
		String evicted = Collections
			.min(this.parts.entrySet(), Map.Entry.comparingByValue(Comparator.comparingInt(SuspectPart::openCrashes)))
			.getKey();
		changed(Change.EVICTED, evicted, "-");
		this.parts.remove(evicted);
	}

	/**
	 * Clear the parts of a proved run of the crashes before its response began.
	 * @param run the run
	 */
	void proved(PromptRun run) {
		this.provedParts.proved(run);
		for (String id : run.parts()) {
			SuspectPart part = this.parts.get(id);
			if (part != null) {
				clear(id, part, (crash) -> crash.service().equals(run.service()) && run.beganAfter(crash.at()));
			}
		}
	}

	private void clear(String id, SuspectPart part, Predicate<SuspectPart.Crash> which) {
		for (String server : part.clear(which, this.clock.nanoTime())) {
			part.reportSoon(URGENT_REPORTS);
			changed(Change.CLEARED, id, server);
		}
	}

	/**
	 * Clear a part of all crashes that are known here, by order of an operator.
	 * @param id the part
	 * @return whether it had any
	 */
	public boolean lift(String id) {
		SuspectPart part = this.parts.get(id);
		if (part == null || part.openCrashes() == 0) {
			return false;
		}
		clear(id, part, (crash) -> true);
		return true;
	}

	/**
	 * Return whether a request is refused because of its parts. Crashes that a part
	 * outside of the request may have caused do not count against it.
	 * @param shared what {@link #sharedParts} returned
	 * @return whether one of them crashes servers
	 */
	public boolean shouldRefuse(Collection<String> shared) {
		long now = this.clock.nanoTime();
		boolean refuse = false;
		for (String id : shared) {
			SuspectPart part = this.parts.get(id);
			boolean cause = part != null && probableCause(id, part, now)
					&& unexplainedCrashes(part, shared, now) >= UNEXPLAINED_CRASHES_TO_REFUSE;
			refuse |= cause;
			if (part != null && part.refuse(cause, now)) {
				this.observer.changed(Change.REFUSED, "part=" + id, part.describe(now));
			}
		}
		return refuse;
	}

	private int unexplainedCrashes(SuspectPart part, Collection<String> shared, long now) {
		Set<String> servers = part.openServers();
		this.parts.forEach((id, other) -> {
			if (!shared.contains(id) && probableCause(id, other, now)) {
				servers.removeAll(other.openServers());
			}
		});
		return servers.size();
	}

	private boolean probableCause(String id, SuspectPart part, long now) {
		part.expire(now);
		return part.suffice(now, (service) -> this.traffic.common(service, id))
				&& !proving(id, part.firstOpenAt().orElse(now));
	}

	// Whether a run that began after a crash is being written.
	private boolean proving(String id, long crashAt) {
		return this.runs.stream().anyMatch((run) -> run.parts().contains(id) && run.establishedAfter(crashAt));
	}

	/**
	 * Return whether servers crashed under prompt parts that are not known to be
	 * harmless.
	 * @param shared the prompt parts that requests share
	 * @return whether a crash is open for one of them
	 */
	public boolean crashed(Collection<String> shared) {
		return shared.stream().anyMatch((part) -> !openServers(part).isEmpty());
	}

	/**
	 * Return whether a request has to wait until it is known whether its parts are
	 * harmless. At each router, one request with a suspect part may run beyond the number
	 * of those that a server is writing to; one that was running at a crash itself needs
	 * another one to prove the part first.
	 * @param shared what {@link #sharedParts} returned
	 * @param repeated whether the request was running when its server may have crashed
	 * @return whether it has to wait
	 */
	public boolean mustWait(Collection<String> shared, boolean repeated) {
		return shared.stream().anyMatch((part) -> limited(part, repeated));
	}

	private boolean limited(String id, boolean repeated) {
		Set<String> servers = openServers(id);
		if (servers.size() < CRASHES_TO_LIMIT || proving(id, firstSuspicionAt(id))) {
			return false;
		}
		long now = this.clock.nanoTime();
		int established = 0;
		int open = repeated ? 1 : 0;
		for (PromptRun run : this.runs) {
			if (run.parts().contains(id)) {
				established += run.established() ? 1 : 0;
				open += run.undecided(now) ? 1 : 0;
			}
		}
		return open > established;
	}

	// Servers that crashed under the part, or may have.
	private Set<String> openServers(String id) {
		Optional<SuspectPart> part = Optional.ofNullable(this.parts.get(id));
		part.ifPresent((known) -> known.expire(this.clock.nanoTime()));
		Set<String> servers = part.map(SuspectPart::openServers).orElseGet(HashSet::new);
		this.brokenRuns.inDoubt(id, this.clock.nanoTime())
			.stream()
			.filter((broken) -> !this.provedParts.provedAfter(broken.run().service(), id, broken.at()))
			.map(BrokenRuns.BrokenRun::server)
			.filter((server) -> part.isEmpty() || !part.get().cleared(server))
			.forEach(servers::add);
		return servers;
	}

	private long firstSuspicionAt(String id) {
		long now = this.clock.nanoTime();
		long crashAt = Optional.ofNullable(this.parts.get(id))
			.map(SuspectPart::firstOpenAt)
			.orElse(OptionalLong.empty())
			.orElse(now);
		long doubtAt = this.brokenRuns.inDoubt(id, now).stream().mapToLong(BrokenRuns.BrokenRun::at).min().orElse(now);
		return Math.min(crashAt, doubtAt);
	}

	/**
	 * Return how long a request is refused if no more requests with its parts come.
	 * @param shared what {@link #sharedParts} returned
	 * @return the time in milliseconds, 0 if it is not refused
	 */
	public long refusedForMs(Collection<String> shared) {
		return shouldRefuse(shared) ? SuspectPart.KEEP_NANOS / NANOS_PER_MS : 0;
	}

	/**
	 * Report all parts in the next messages, because a router that did not receive the
	 * last ones has returned.
	 */
	public void reportAllSoon() {
		this.parts.values().forEach((part) -> part.reportSoon(RETURN_REPORTS));
	}

	/**
	 * List crashes for the next message to the other routers: changes in the next
	 * {@link #URGENT_REPORTS} messages, the others in turn.
	 * @return the crashes by part
	 */
	public Map<String, PartCrashes> report() {
		expire();
		long urgent = this.parts.values().stream().filter(SuspectPart::urgent).count();
		List<String> next = this.parts.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue(SuspectPart.MOST_URGENT_FIRST))
			.limit(Math.max(MAX_REPORTED_IN_TURN, Math.min(MAX_REPORTED, urgent)))
			.map(Map.Entry::getKey)
			.toList();
		Map<String, PartCrashes> result = new HashMap<>();
		int crashes = 0;
		for (String id : next) {
			if (crashes >= MAX_REPORTED_CRASHES) {
				break;
			}
			SuspectPart part = this.parts.remove(id);
			part.reported();
			result.put(id, part.crashes(this.clock.nanoTime()));
			crashes += result.get(id).crashes().size();
			this.parts.put(id, part);
		}
		return result;
	}

	private void expire() {
		long now = this.clock.nanoTime();
		this.parts.values().forEach((part) -> part.expire(now));
		this.parts.values().removeIf(SuspectPart::isEmpty);
	}

	/**
	 * List the parts with the most crashes, for a router that starts and for operators.
	 * @param limit largest number of parts
	 * @return the crashes by part
	 */
	public Map<String, PartCrashes> mostCrashes(int limit) {
		expire();
		long now = this.clock.nanoTime();
		Map<String, PartCrashes> result = new LinkedHashMap<>();
		this.parts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().openCrashes() > 0)
			.sorted(Comparator.comparingInt((entry) -> -entry.getValue().openCrashes()))
			.limit(limit)
			.forEach((entry) -> result.put(entry.getKey(), entry.getValue().crashes(now)));
		return result;
	}

	/**
	 * Add what another router knows of a part. Expired crashes are ignored, so that they
	 * do not circulate between routers forever.
	 * @param id the part
	 * @param reported its crashes
	 */
	public void merge(String id, PartCrashes reported) {
		long now = this.clock.nanoTime();
		long refusedAgeMs = reported.refusedAgeMs().orElse(Long.MAX_VALUE);
		reported.crashes().forEach((server, crash) -> {
			if (crash.cleared()) {
				mergeClearing(id, server, crash);
			}
			else if (Math.min(crash.ageMs(), refusedAgeMs) <= SuspectPart.KEEP_NANOS / NANOS_PER_MS) {
				record(id, server, new SuspectPart.Crash(crash.service(), now - crash.ageMs() * NANOS_PER_MS, now,
						crash.repeated(), false), Change.LEARNED);
			}
		});
		Optional.ofNullable(this.parts.get(id))
			.filter((part) -> reported.refusedAgeMs().isPresent())
			.ifPresent((part) -> part.refusedAt(now - refusedAgeMs * NANOS_PER_MS));
	}

	private void mergeClearing(String id, String server, PartCrashes.Crash crash) {
		SuspectPart part = this.parts.computeIfAbsent(id, (key) -> new SuspectPart());
		if (part.recordClearing(server, crash, this.clock.nanoTime())) {
			part.reportSoon(1);
			changed(Change.CLEARED, id, server);
		}
		evict();
	}

}

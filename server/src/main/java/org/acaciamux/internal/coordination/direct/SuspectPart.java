package org.acaciamux.internal.coordination.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;

/**
 * A prompt part and the crashes of servers that were running requests with it. Invariant:
 * a crash that was cleared stays cleared for as long as it is kept. Confined to the event
 * loop.
 */
final class SuspectPart {

	/** Number of crashes without a proved run since, from which on a part is refused. */
	private static final int CRASHES_TO_REFUSE = 4;

	/**
	 * Time between two crashes from which on they count as two, in nanoseconds: servers
	 * of one VM, rack or failure domain fail within less.
	 */
	private static final long SEPARATE_NANOS = 100_000_000L;

	/**
	 * Number of these crashes whose run began while its part was already suspect: servers
	 * that fail together are not evidence against what all of them were running.
	 */
	private static final int REPEATED_CRASHES_TO_REFUSE = 2;

	/**
	 * Time that runs have to clear a part before it is refused, in nanoseconds: a common
	 * part is proved within 0.5 s, and a message and its repetition take as long.
	 */
	private static final long PROOF_NANOS = 1_500_000_000L;

	/** Largest number of crashes of one part in a message, about 60 bytes each. */
	static final int MAX_REPORTED_CRASHES = 12;

	/**
	 * How long a crash counts after it happened and after the part was last refused, in
	 * nanoseconds.
	 */
	static final long KEEP_NANOS = 600_000_000_000L;

	/**
	 * How long a cleared crash is remembered, in nanoseconds: until the routers that
	 * still report it have heard of the clearing.
	 */
	private static final long KEEP_CLEARED_NANOS = 10_000_000_000L;

	private static final long NANOS_PER_MS = 1_000_000;

	static final Comparator<SuspectPart> MOST_URGENT_FIRST = Comparator
		.<SuspectPart>comparingInt((part) -> (part.urgentReports > 0) ? 0 : 1)
		.thenComparingInt((part) -> (part.urgentReports > 0) ? -part.crashes.size() : 0)
		.thenComparingInt((part) -> -part.urgentReports);

	/** By the lifetime of the server. */
	private final Map<String, Crash> crashes = new HashMap<>();

	private int urgentReports;

	private boolean refusing;

	private OptionalLong refusedAt = OptionalLong.empty();

	/**
	 * Record a crash that happened under this part.
	 * @param server the lifetime of the server
	 * @param crash the crash
	 * @return whether it was not known
	 */
	boolean record(String server, Crash crash) {
		Crash known = this.crashes.get(server);
		if (known == null) {
			this.crashes.put(server, crash);
		}
		else if (crash.repeated && !known.repeated) {
			this.crashes.put(server, known.withRepetition());
		}
		return known == null;
	}

	/**
	 * Record that another router cleared the part of a crash.
	 * @param server the lifetime of the server
	 * @param reported the clearing
	 * @param now the monotonic time in nanoseconds
	 * @return whether it was not known
	 */
	boolean recordClearing(String server, PartCrashes.Crash reported, long now) {
		Crash known = this.crashes.get(server);
		long clearedAt = now - reported.ageMs() * NANOS_PER_MS;
		if (known != null && known.cleared || now - clearedAt > KEEP_CLEARED_NANOS) {
			return false;
		}
		this.crashes.put(server, new Crash(reported.service(), clearedAt, now, reported.repeated(), true));
		return true;
	}

	/**
	 * Clear the part of crashes.
	 * @param which which crashes
	 * @param now the monotonic time in nanoseconds
	 * @return the servers of those that were not cleared before
	 */
	List<String> clear(Predicate<Crash> which, long now) {
		List<String> servers = this.crashes.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().cleared && which.test(entry.getValue()))
			.map(Map.Entry::getKey)
			.toList();
		servers.forEach((server) -> this.crashes.computeIfPresent(server, (key, crash) -> crash.clear(now)));
		return servers;
	}

	boolean cleared(String server) {
		return this.crashes.containsKey(server) && this.crashes.get(server).cleared;
	}

	/**
	 * Return the servers of the crashes that are not cleared.
	 * @return a new set of their lifetimes
	 */
	Set<String> openServers() {
		Set<String> servers = new HashSet<>(this.crashes.keySet());
		servers.removeIf(this::cleared);
		return servers;
	}

	int openCrashes() {
		return (int) this.crashes.values().stream().filter((crash) -> !crash.cleared).count();
	}

	/**
	 * Return when the first crash that is not cleared became known.
	 * @return the monotonic time in nanoseconds, empty if there is none
	 */
	OptionalLong firstOpenAt() {
		return this.crashes.values().stream().filter((crash) -> !crash.cleared).mapToLong(Crash::knownAt).min();
	}

	/**
	 * Return whether the crashes alone suffice to refuse the part.
	 * @param now the monotonic time in nanoseconds
	 * @param common whether nearly all requests for a service have the part. Several
	 * crashes of one server then tell of the server, and count as one.
	 * @return whether they do
	 */
	boolean suffice(long now, Predicate<String> common) {
		OptionalLong first = firstOpenAt();
		return first.isPresent() && now - first.getAsLong() >= PROOF_NANOS
				&& separateCrashes((server, crash) -> server) >= CRASHES_TO_REFUSE
				&& separateCrashes((server, crash) -> common.test(crash.service) ? ServerEntry.id(server)
						: server) >= CRASHES_TO_REFUSE
				&& this.crashes.values()
					.stream()
					.filter((crash) -> !crash.cleared && crash.repeated)
					.count() >= REPEATED_CRASHES_TO_REFUSE;
	}

	private int separateCrashes(BiFunction<String, Crash, String> identity) {
		Map<String, Long> firstAt = new HashMap<>();
		this.crashes.forEach((server, crash) -> {
			if (!crash.cleared) {
				firstAt.merge(identity.apply(server, crash), crash.at, Math::min);
			}
		});
		int separate = 0;
		long last = 0;
		for (long at : firstAt.values().stream().sorted().toList()) {
			if (separate == 0 || at - last >= SEPARATE_NANOS) {
				separate++;
				last = at;
			}
		}
		return separate;
	}

	/**
	 * Record whether a request is refused because of the part.
	 * @param refuse whether it is
	 * @param now the monotonic time in nanoseconds
	 * @return whether this is the first one that is
	 */
	boolean refuse(boolean refuse, long now) {
		boolean first = refuse && !this.refusing;
		this.refusing = refuse;
		if (refuse) {
			refusedAt(now);
		}
		return first;
	}

	void refusedAt(long at) {
		this.refusedAt = OptionalLong.of(this.refusedAt.isPresent() ? Math.max(this.refusedAt.getAsLong(), at) : at);
	}

	void expire(long now) {
		boolean refused = this.refusedAt.isPresent() && now - this.refusedAt.getAsLong() <= KEEP_NANOS;
		this.crashes.values()
			.removeIf((crash) -> crash.cleared ? now - crash.at > KEEP_CLEARED_NANOS
					: !refused && now - crash.at > KEEP_NANOS);
	}

	boolean isEmpty() {
		return this.crashes.isEmpty();
	}

	boolean urgent() {
		return this.urgentReports > 0;
	}

	void reportSoon(int reports) {
		this.urgentReports = Math.max(this.urgentReports, reports);
	}

	void reported() {
		this.urgentReports = Math.max(0, this.urgentReports - 1);
	}

	/**
	 * Describe the crashes for the log.
	 * @param now the monotonic time in nanoseconds
	 * @return their number, servers and ages
	 */
	String describe(long now) {
		List<String> ages = this.crashes.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().cleared)
			.map((entry) -> entry.getKey() + ":" + (now - entry.getValue().at) / NANOS_PER_MS)
			.toList();
		return "crashes=" + ages.size() + " serverAgesMs=" + String.join(",", ages);
	}

	PartCrashes crashes(long now) {
		Map<String, PartCrashes.Crash> result = new HashMap<>();
		this.crashes.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((entry) -> now - entry.getValue().at))
			.limit(MAX_REPORTED_CRASHES)
			.forEach((entry) -> result.put(entry.getKey(), entry.getValue().report(now)));
		return new PartCrashes(result, this.refusedAt.isPresent()
				? OptionalLong.of((now - this.refusedAt.getAsLong()) / NANOS_PER_MS) : OptionalLong.empty());
	}

	/**
	 * One crash. Immutable and thread-safe.
	 *
	 * @param service the server's service
	 * @param at when it happened, or later by the delay of messages; if it is cleared,
	 * when it was cleared; monotonic time in nanoseconds
	 * @param knownAt when this router learned of it, from which on runs have time to
	 * clear the part; monotonic time in nanoseconds
	 * @param repeated whether the part was suspect when its run began
	 * @param cleared whether a run that began later was proved
	 */
	record Crash(String service, long at, long knownAt, boolean repeated, boolean cleared) {

		private Crash withRepetition() {
			return new Crash(this.service, this.at, this.knownAt, true, this.cleared);
		}

		private Crash clear(long now) {
			return new Crash(this.service, now, now, this.repeated, true);
		}

		private PartCrashes.Crash report(long now) {
			return new PartCrashes.Crash(this.service, (now - this.at) / NANOS_PER_MS, this.repeated, this.cleared);
		}

	}

}

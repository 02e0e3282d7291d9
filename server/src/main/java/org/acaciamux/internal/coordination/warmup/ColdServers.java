package org.acaciamux.internal.coordination.warmup;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.acaciamux.internal.coordination.direct.ServerEntry;

/**
 * Which servers count as cold, and until when. Answers the load pattern of servers that
 * start during traffic and crash if they get their usual load at once. Invariants: no
 * source shortens what another one says; a server of which nothing says that it is cold
 * counts as warm. Confined to the event loop.
 */
final class ColdServers {

	/**
	 * Time that is added to the warm-up time of a server whose start was only observed,
	 * in milliseconds: entries are written every 1,200 ms and reach a router up to some
	 * hundred milliseconds later.
	 */
	static final long MARGIN_MS = 1_500;

	/** Longest remaining time that is accepted from a server or router. */
	private static final long MAX_LEFT_MS = 60_000;

	/**
	 * Time for which a lifetime is remembered after its entry was removed. An entry that
	 * is missing for a moment, for example while the store returns from a copy, does not
	 * make a warm server cold.
	 */
	private static final long REMEMBER_NANOS = TimeUnit.MINUTES.toNanos(10);

	private final Map<String, Known> servers = new HashMap<>();

	/** What other routers said, by lifetime: the entry may arrive later. */
	private final Map<String, Long> toldUntil = new HashMap<>();

	private boolean listed;

	/**
	 * Record the entries of all servers.
	 * @param entries the entries
	 * @param now the monotonic time in nanoseconds
	 */
	void listed(Collection<ServerEntry> entries, long now) {
		entries.forEach((entry) -> listed(entry, now));
		this.servers.values().removeIf((known) -> now - known.listedAt > REMEMBER_NANOS);
		this.toldUntil.values().removeIf((until) -> until - now <= 0);
		this.listed = true;
	}

	private void listed(ServerEntry entry, long now) {
		Known known = this.servers.get(entry.id());
		boolean restarted = known == null || known.entry.startedMs() != entry.startedMs()
				|| !known.entry.address().equals(entry.address());
		if (restarted) {
			known = new Known();
			this.servers.put(entry.id(), known);
		}
		// The first list shows servers that started long ago. Their entries say whether
		// they are cold.
		if (restarted && this.listed) {
			known.event(ColdReason.NEW_LIFETIME, now);
		}
		if (restarted || known.entry.coldLeftMs() != entry.coldLeftMs()) {
			known.entryUntil = now + nanos(entry.coldLeftMs() + MARGIN_MS);
		}
		known.entry = entry;
		known.listedAt = now;
	}

	/**
	 * Record that something was observed which may mean that a server has started.
	 * @param id the server's id
	 * @param reason what was observed
	 * @param now the monotonic time in nanoseconds
	 */
	void observed(String id, ColdReason reason, long now) {
		Optional.ofNullable(this.servers.get(id)).ifPresent((known) -> known.event(reason, now));
	}

	/**
	 * Record that the servers of a failure domain get requests again.
	 * @param domain the failure domain
	 * @param now the monotonic time in nanoseconds
	 */
	void domainReturned(String domain, long now) {
		this.servers.values()
			.stream()
			.filter((known) -> known.entry.domain().equals(domain))
			.forEach((known) -> known.event(ColdReason.DOMAIN_RETURNED, now));
	}

	/**
	 * Record what a server said in a response.
	 * @param id the server's id
	 * @param leftMs how much longer it is cold, in milliseconds
	 * @param now the monotonic time in nanoseconds
	 */
	void reported(String id, long leftMs, long now) {
		Known known = this.servers.get(id);
		if (known != null && leftMs > 0) {
			known.reportedUntil = later(known.reportedUntil, now + nanos(Math.min(leftMs, MAX_LEFT_MS)), now);
		}
	}

	/**
	 * Record what another router said.
	 * @param lifetime the lifetime of the server
	 * @param leftMs how much longer it is cold, in milliseconds
	 * @param now the monotonic time in nanoseconds
	 */
	void told(String lifetime, long leftMs, long now) {
		if (leftMs > 0) {
			this.toldUntil.merge(lifetime, now + nanos(Math.min(leftMs, MAX_LEFT_MS)),
					(known, next) -> later(known, next, now));
		}
	}

	/**
	 * Return whether a server counts as cold.
	 * @param entry its entry
	 * @param coldMs the warm-up time of its service, in milliseconds
	 * @param now the monotonic time in nanoseconds
	 * @return why and for how long, empty if it counts as warm
	 */
	Optional<Cold> find(ServerEntry entry, long coldMs, long now) {
		Known known = this.servers.get(entry.id());
		Cold longest = new Cold(ColdReason.PEER, leftMs(this.toldUntil.getOrDefault(entry.lifetime(), now), now));
		if (known == null) {
			return Optional.of(longest).filter((cold) -> cold.leftMs > 0);
		}
		if (known.reason != null) {
			longest = longest.max(new Cold(known.reason, leftMs(known.eventAt + nanos(coldMs + MARGIN_MS), now)));
		}
		if (known.reportedUntil != 0) {
			longest = longest.max(new Cold(ColdReason.RESPONSE, leftMs(known.reportedUntil, now)));
		}
		if (known.entry.coldLeftMs() > 0) {
			longest = longest.max(new Cold(ColdReason.ENTRY, leftMs(known.entryUntil, now)));
		}
		return Optional.of(longest).filter((cold) -> cold.leftMs > 0);
	}

	private static long later(long one, long other, long now) {
		return (one == 0 || other - now > one - now) ? other : one;
	}

	private static long leftMs(long until, long now) {
		return TimeUnit.NANOSECONDS.toMillis(until - now);
	}

	private static long nanos(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	/**
	 * A server counts as cold.
	 *
	 * @param reason the reason that holds longest
	 * @param leftMs how much longer, in milliseconds
	 */
	record Cold(ColdReason reason, long leftMs) {

		private Cold max(Cold other) {
			return (other.leftMs > this.leftMs) ? other : this;
		}

	}

	private static final class Known {

		private ServerEntry entry;

		private long listedAt;

		private long entryUntil;

		private ColdReason reason;

		private long eventAt;

		private long reportedUntil;

		void event(ColdReason next, long now) {
			this.reason = next;
			this.eventAt = now;
		}

	}

}

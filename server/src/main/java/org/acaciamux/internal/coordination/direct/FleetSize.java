package org.acaciamux.internal.coordination.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

/**
 * Number of routers among which a limit of the fleet is divided. Invariants: the number
 * rises with the first message or listing of a router; it falls only after a router was
 * silent for {@link #RELEASE_MS}, so that no other router has its share before the
 * retries that it used have left the window of the limit. After {@link #LOST_MS}, each
 * side of a partition that has the directory divides the limit by its own routers.
 * Silence counts only while this router runs and its directory answers: a router that is
 * cut off keeps its share as it was. Confined to the event loop.
 */
public final class FleetSize {

	/**
	 * Silence after which a router that leaves, that the directory does not list or that
	 * this process has never heard is no longer counted, in milliseconds. The directory
	 * keeps the entries of lost VMs.
	 */
	static final long RELEASE_MS = 30_000;

	/**
	 * Silence after which any other listed router is no longer counted, in milliseconds:
	 * it may serve callers on the other side of a partition, but its VM may also be lost,
	 * and nobody removes its entry. {@link RetryBudgets} leaves room for two sides.
	 */
	static final long LOST_MS = 300_000;

	/**
	 * Time between two updates above which this process counts as having been suspended,
	 * in milliseconds.
	 */
	private static final long SUSPENDED_MS = 1_500;

	private final Map<String, Member> members = new HashMap<>();

	private final NanoClock clock;

	private final String self;

	private boolean listed;

	private long updatedAt;

	/**
	 * Create a fleet of which only this router is known.
	 * @param clock the monotonic clock
	 * @param self the address at which this router receives messages
	 */
	public FleetSize(NanoClock clock, String self) {
		this.clock = clock;
		this.self = self;
		this.updatedAt = clock.nanoTime();
	}

	/**
	 * Record a message of another router.
	 * @param router its address
	 * @param leaving whether it says that it leaves
	 */
	public void heard(String router, boolean leaving) {
		if (router.equals(this.self)) {
			return;
		}
		Member member = this.members.computeIfAbsent(router, (key) -> new Member());
		member.silentNanos = 0;
		member.heard = true;
		member.leaving = leaving;
	}

	/**
	 * Record the routers that the directory lists.
	 * @param routers all their addresses
	 */
	public void listed(Collection<String> routers) {
		this.listed = true;
		Set<String> others = new HashSet<>(routers);
		others.remove(this.self);
		others.forEach((router) -> this.members.computeIfAbsent(router, (key) -> new Member()));
		this.members.forEach((router, member) -> member.listed = others.contains(router));
	}

	/**
	 * Record the time that has passed. Called with each message to the other routers.
	 * @param directoryAnswers whether the directory answers this router
	 */
	public void update(boolean directoryAnswers) {
		long now = this.clock.nanoTime();
		long passed = now - this.updatedAt;
		this.updatedAt = now;
		if (!directoryAnswers) {
			this.members.values().forEach((member) -> member.silentNanos = 0);
			return;
		}
		if (TimeUnit.NANOSECONDS.toMillis(passed) > SUSPENDED_MS) {
			return;
		}
		this.members.values().forEach((member) -> member.silentNanos += passed);
		this.members.values().removeIf((member) -> !member.listed && !member.counts());
	}

	/**
	 * Return the number of routers that are known.
	 * @return the number, this router included
	 */
	public int known() {
		return 1 + (int) this.members.values().stream().filter(Member::counts).count();
	}

	/**
	 * Return among how many routers a limit is divided.
	 * @return the number, empty before the directory has listed the routers: the number
	 * that were heard of may be that of one side of a partition
	 */
	public OptionalInt divisor() {
		return this.listed ? OptionalInt.of(known()) : OptionalInt.empty();
	}

	/**
	 * Return the address of this router.
	 * @return the address
	 */
	public String self() {
		return this.self;
	}

	/**
	 * List the other routers among which a limit is divided that must hold over both
	 * sides of a partition as well. A router that hears at most half of the listed ones
	 * may be on the smaller side and counts all that are listed, also after a long
	 * silence.
	 * @return their addresses
	 */
	public Set<String> sharingRouters() {
		long live = this.members.values().stream().filter((member) -> member.heard && member.counts()).count();
		long total = this.members.values().stream().filter((member) -> member.listed).count();
		boolean smallerSide = 2 * (live + 1) <= total + 1;
		Set<String> routers = new HashSet<>();
		this.members.forEach((router, member) -> {
			if (member.counts() || smallerSide && member.listed) {
				routers.add(router);
			}
		});
		return routers;
	}

	/**
	 * Return this router's share of the connections that a backend server accepts. A
	 * router that knows no other one yet may open all of them, because it serves callers
	 * before the directory has listed the routers.
	 * @param limit the connections that it accepts from all routers
	 * @param minimum the connections that every router may open
	 * @return the share
	 */
	public int connections(int limit, int minimum) {
		return Math.max(minimum, limit / known());
	}

	private static final class Member {

		private long silentNanos;

		private boolean heard;

		private boolean listed;

		private boolean leaving;

		boolean counts() {
			long silentMs = TimeUnit.NANOSECONDS.toMillis(this.silentNanos);
			boolean mayServe = this.heard && this.listed && !this.leaving;
			return silentMs < (mayServe ? LOST_MS : RELEASE_MS);
		}

	}

}

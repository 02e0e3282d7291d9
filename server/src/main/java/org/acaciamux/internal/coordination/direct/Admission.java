package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.overload.ServiceDurations;
import org.acaciamux.internal.coordination.overload.UrgentRanks;
import org.acaciamux.internal.coordination.overload.WaitRule;
import org.acaciamux.internal.coordination.speed.ServerEstimate;

/**
 * Immediately refuses requests that would not be served in time. Protects a service from
 * load beyond its capacity: otherwise all requests wait, most responses are late, and
 * work is wasted on callers that have disconnected. Invariants: no request is refused
 * while its server has a free slot; among requests with the same goal whose organisations
 * do not send in excess, a less urgent one may never wait longer than a more urgent one.
 * Confined to the event loop.
 */
public final class Admission {

	/**
	 * Assumed mean duration of a service's requests until one has ended, in milliseconds.
	 */
	private static final double INITIAL_MEAN_MS = 50;

	/** Weight of the newest request in the mean duration. */
	private static final double MEAN_WEIGHT = 0.02;

	/**
	 * Shortest Retry-After, in milliseconds: with shorter ones refused callers return all
	 * at once.
	 */
	private static final long MIN_RETRY_AFTER_MS = 200;

	/**
	 * Share of a caller's remaining time that a Retry-After may use: callers retry once
	 * and need the rest of the time to be served.
	 */
	private static final double MAX_RETRY_AFTER_WAIT_SHARE = 0.3;

	private final Map<String, Double> meanMs = new HashMap<>();

	private final NanoClock clock;

	private final OrganisationShares shares;

	private final ServiceDurations durations = new ServiceDurations();

	private final UrgentRanks urgentRanks = new UrgentRanks();

	private final boolean waitsForSlots;

	/**
	 * Create an admission without recorded durations.
	 * @param clock the monotonic clock
	 */
	public Admission(NanoClock clock) {
		this(clock, false);
	}

	/**
	 * Create an admission without recorded durations.
	 * @param clock the monotonic clock
	 * @param waitsForSlots whether requests to plain servers may wait for the rest of
	 * their time limit
	 */
	public Admission(NanoClock clock, boolean waitsForSlots) {
		this.clock = clock;
		this.waitsForSlots = waitsForSlots;
		this.shares = new OrganisationShares(clock, waitsForSlots);
	}

	/**
	 * Record that a request was answered that did not wait for a slot.
	 * @param service its service
	 * @param ms milliseconds from sending to the end of the response
	 */
	public void answered(String service, long ms) {
		answered(service, ms, 0);
	}

	/**
	 * Record that a request was answered.
	 * @param service its service
	 * @param ms milliseconds from sending to the end of the response
	 * @param waitShare estimated wait when it was sent, as a multiple of the duration of
	 * a request
	 */
	public void answered(String service, long ms, double waitShare) {
		this.durations.answered(service, ms, waitShare);
		this.meanMs.merge(service, (double) ms, (mean, next) -> mean + MEAN_WEIGHT * (next - mean));
	}

	/**
	 * Record the arrival of a request.
	 * @param route the request's route
	 * @param organisation the organisation that sent it, empty if it is not known
	 * @return the class that determines how long the request may wait for a slot
	 */
	public WaitClass arrived(ServiceRoute route, Optional<Organisation> organisation) {
		int rank = organisation.map(Organisation::priority).orElse(OptionalInt.empty()).orElse(route.priority());
		String name = organisation.map(Organisation::name).orElse("");
		this.shares.recordRequest(name);
		route.targets().forEach((target) -> this.urgentRanks.arrived(target.service(), rank, this.clock.nanoTime()));
		return new WaitClass(rank, this.shares.excess(name));
	}

	/**
	 * Decide whether a request is refused at its chosen server.
	 * @param server the server
	 * @param route the request's route
	 * @param waitClass what {@link #arrived} returned for it
	 * @return empty to send it, otherwise the estimated milliseconds until a slot is free
	 */
	public OptionalLong refusal(ServerState server, ServiceRoute route, WaitClass waitClass) {
		ServerEstimate estimate = server.estimate(this.clock.nanoTime());
		if (estimate.load() < estimate.slots()) {
			return OptionalLong.empty();
		}
		String service = server.entry().service();
		WaitRule rule = rule(server, route);
		double meanMs = this.meanMs.getOrDefault(service, INITIAL_MEAN_MS);
		double usualMs = this.durations.usualMs(service);
		boolean rest = rule == WaitRule.REST_OF_TIME_LIMIT;
		double waitMs = estimate.waitMs(rest ? usualMs : meanMs);
		int rank = rest ? this.urgentRanks.relative(service, waitClass.rank(), this.clock.nanoTime())
				: waitClass.rank();
		double maxWaitMs = rule.maxWaitMs(route.goalMs(), route.timeoutMs(), usualMs, rank, waitClass.excess());
		return (waitMs <= maxWaitMs) ? OptionalLong.empty() : OptionalLong.of((long) waitMs);
	}

	// The servers of a service report how long work takes only where callers compete for
	// few slots.
	private WaitRule rule(ServerState server, ServiceRoute route) {
		boolean waits = !route.streaming() && (this.waitsForSlots || server.speed().reports());
		return waits ? WaitRule.REST_OF_TIME_LIMIT : WaitRule.SHARE_OF_GOAL;
	}

	/**
	 * Choose when a refused caller retries: early enough to be served, not before a slot
	 * is likely to be free, and spread over the time between. If a slot is likely to be
	 * free only after the latest useful time, the delay is that time.
	 * @param slotFreeMs estimated milliseconds until a slot is free
	 * @param leftMs milliseconds that the caller still waits
	 * @param random a uniform number from 0.0 to below 1.0
	 * @return the delay in milliseconds
	 */
	public static long retryAfterMs(long slotFreeMs, long leftMs, double random) {
		double latest = Math.max(MIN_RETRY_AFTER_MS, leftMs * MAX_RETRY_AFTER_WAIT_SHARE);
		double earliest = Math.min(latest, Math.max(MIN_RETRY_AFTER_MS, slotFreeMs));
		return (long) (earliest + random * (latest - earliest));
	}

	/**
	 * Class of a request, which determines how long it may wait for a slot.
	 *
	 * @param rank its priority, 0 is the most urgent
	 * @param excess whether its organisation sends more than usual
	 */
	public record WaitClass(int rank, boolean excess) {
	}

}

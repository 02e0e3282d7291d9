package org.acaciamux.internal.coordination.hedge;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.IntCountsHistogram;
import org.agrona.concurrent.NanoClock;

/**
 * Decides whether a request is hedged, that is sent to a second server while the first
 * one is slow. Answers servers that share their VMs with others and are slow for a part
 * of a second, so that a few requests take several times as long as usual. Invariants:
 * the hedges of a router never exceed the given percentage of the requests that it has
 * received itself since its start, so the fleet keeps the percentage with any number of
 * routers, restarts and partitions; no request is hedged before the 95th percentile of
 * its service's recent response times has passed, nor while the service is overloaded.
 * Confined to the event loop.
 */
public final class HedgePolicy {

	/**
	 * Age up to which response times count, in milliseconds; half of it at least. With 24
	 * routers, a router receives a few requests of a service a second.
	 */
	static final long WINDOW_MS = 30_000;

	/**
	 * Response times below which there is no percentile: it would rest on one or two of
	 * them.
	 */
	static final int MIN_RESPONSES = 40;

	/**
	 * Time without hedges after a request was refused, in milliseconds; longer than a
	 * slow period of a server.
	 */
	static final long OVERLOAD_MS = 2_000;

	/** Share of a service's slots above which its requests are not hedged. */
	static final double MAX_BUSY_SHARE = 0.7;

	private static final double PERCENTILE = 95;

	/** Age up to which a percentile is used again, in milliseconds. */
	private static final long PERCENTILE_AGE_MS = 250;

	/** Longest response time that is told apart from longer ones, in milliseconds. */
	private static final long MAX_RESPONSE_MS = 120_000;

	/** Precision of response times; with two digits a histogram has about 6 KB. */
	private static final int DIGITS = 2;

	/** Percentage points that a hedge costs; a request earns the given percentage. */
	private static final long HEDGE_COST = 100;

	private final Map<String, Service> services = new HashMap<>();

	private final IntCountsHistogram merged = histogram();

	private final NanoClock clock;

	private final int percent;

	/**
	 * Create a policy without recorded requests.
	 * @param percent hedges for each 100 requests of a service, 1 to 100
	 * @param clock the monotonic clock
	 */
	public HedgePolicy(int percent, NanoClock clock) {
		this.percent = percent;
		this.clock = clock;
	}

	private static IntCountsHistogram histogram() {
		return new IntCountsHistogram(MAX_RESPONSE_MS, DIGITS);
	}

	/**
	 * Record a request of a caller, which earns its part of a hedge.
	 * @param service the service that serves it
	 */
	public void arrived(String service) {
		service(service).earn(this.percent);
	}

	/**
	 * Record the response time of a first send.
	 * @param service its service
	 * @param ms milliseconds from sending to the first byte of the response
	 */
	public void answered(String service, long ms) {
		service(service).recent.recordValue(Math.max(0, Math.min(ms, MAX_RESPONSE_MS)));
	}

	/**
	 * Record a first send that was given up before it responded. It counts if it took
	 * longer than the percentile: without these, the percentile would fall with each
	 * hedge that is answered first.
	 * @param service its service
	 * @param ms milliseconds from sending
	 */
	public void abandoned(String service, long ms) {
		if (due(service, ms)) {
			answered(service, ms);
		}
	}

	/**
	 * Record that a request was refused because of load, by this router or by a server.
	 * @param service its service
	 */
	public void refused(String service) {
		service(service).refusedAt = OptionalLong.of(nowMs());
	}

	/**
	 * Return the time after which a request may be hedged.
	 * @param service its service
	 * @return milliseconds from sending, empty while too few response times are known
	 */
	public OptionalLong delayMs(String service) {
		return service(service).percentile();
	}

	/**
	 * Return whether a send has taken longer than the service's percentile.
	 * @param service the service
	 * @param elapsedMs milliseconds from sending
	 * @return whether it has
	 */
	public boolean due(String service, long elapsedMs) {
		OptionalLong delayMs = delayMs(service);
		return delayMs.isPresent() && elapsedMs > delayMs.getAsLong();
	}

	/**
	 * Decide whether a request whose send is {@link #due} is hedged now.
	 * @param service its service
	 * @param request what excludes it
	 * @param load requests at the servers of the service
	 * @param slots slots of these servers
	 * @return the decision
	 */
	public Decision decide(String service, HedgeRequest request, int load, int slots) {
		if (request.excluded()) {
			return Decision.EXCLUDED;
		}
		Service state = service(service);
		boolean refusing = state.refusedAt.isPresent() && nowMs() - state.refusedAt.getAsLong() < OVERLOAD_MS;
		if (refusing || load > slots * MAX_BUSY_SHARE) {
			return Decision.OVERLOADED;
		}
		return (state.earned >= HEDGE_COST) ? Decision.SEND : Decision.SHARE_USED_UP;
	}

	/**
	 * Use one of the hedges that the share leaves, after {@link Decision#SEND}.
	 * @param service the service
	 */
	public void use(String service) {
		service(service).earned -= HEDGE_COST;
	}

	/**
	 * Give back a hedge that was used and not sent.
	 * @param service the service
	 */
	public void giveBack(String service) {
		service(service).earned += HEDGE_COST;
	}

	/**
	 * Return the number of hedges that the share leaves at present.
	 * @return the number for all services, at least 0
	 */
	public long left() {
		return this.services.values().stream().mapToLong((service) -> service.earned / HEDGE_COST).sum();
	}

	private Service service(String name) {
		Service service = this.services.computeIfAbsent(name, (key) -> new Service());
		service.expire();
		return service;
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime());
	}

	/**
	 * Whether a request is hedged.
	 */
	public enum Decision {

		/** Send it to a second server if one has room and the retry budget allows it. */
		SEND,

		/** Not now: the hedges that the share allows are used up. */
		SHARE_USED_UP,

		/** Not now: the service has too few free slots or has refused requests. */
		OVERLOADED,

		/** Never: the request must not have a second send. */
		EXCLUDED

	}

	private final class Service {

		private IntCountsHistogram recent = histogram();

		private IntCountsHistogram earlier = histogram();

		private long recentRequests;

		private long earlierRequests;

		private long halfBeganMs = nowMs();

		private OptionalLong percentile = OptionalLong.empty();

		private OptionalLong percentileAtMs = OptionalLong.empty();

		private OptionalLong refusedAt = OptionalLong.empty();

		/** Percentage points that requests have earned and hedges have not used. */
		private long earned;

		// A router that was idle for long does not save up a burst of hedges: it keeps
		// what the requests of the window have earned, but one hedge at least, which
		// a service with few requests needs.
		void earn(int points) {
			this.recentRequests++;
			long most = Math.max(HEDGE_COST, points * (this.recentRequests + this.earlierRequests));
			this.earned = Math.min(this.earned + points, most);
		}

		void expire() {
			long now = nowMs();
			long age = now - this.halfBeganMs;
			if (age < WINDOW_MS / 2) {
				return;
			}
			IntCountsHistogram oldest = this.earlier;
			oldest.reset();
			this.earlier = this.recent;
			this.recent = oldest;
			this.earlierRequests = this.recentRequests;
			this.recentRequests = 0;
			if (age >= WINDOW_MS) {
				this.earlier.reset();
				this.earlierRequests = 0;
			}
			this.halfBeganMs = now;
			this.percentileAtMs = OptionalLong.empty();
		}

		OptionalLong percentile() {
			long now = nowMs();
			if (this.percentileAtMs.isPresent() && now - this.percentileAtMs.getAsLong() < PERCENTILE_AGE_MS) {
				return this.percentile;
			}
			HedgePolicy.this.merged.reset();
			HedgePolicy.this.merged.add(this.recent);
			HedgePolicy.this.merged.add(this.earlier);
			this.percentile = (HedgePolicy.this.merged.getTotalCount() < MIN_RESPONSES) ? OptionalLong.empty()
					: OptionalLong.of(HedgePolicy.this.merged.getValueAtPercentile(PERCENTILE));
			this.percentileAtMs = OptionalLong.of(now);
			return this.percentile;
		}

	}

}

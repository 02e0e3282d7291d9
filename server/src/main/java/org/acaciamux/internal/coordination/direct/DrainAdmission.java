package org.acaciamux.internal.coordination.direct;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which requests a router still sends in its drain, when callers use open
 * connections again and the load balancer does not know of the drain yet. Invariant: a
 * request is sent only if it is expected to end before the router stops, by its time
 * limit or by the durations of the route's last requests; one whose response is passed on
 * in parts is sent by its time limit only once the load balancer should have stopped,
 * counted from the signal, because one that is cut has no final response. Confined to the
 * event loop.
 */
public final class DrainAdmission {

	/** Requests of a route whose durations are kept. */
	static final int SAMPLES = 64;

	/** Streams of a route below which their durations tell too little. */
	static final int MIN_STREAMS = 20;

	/** Share of the requests of a route that take no longer than expected. */
	private static final double EXPECTED_QUANTILE = 0.9;

	/**
	 * Duration in milliseconds that is expected at least of requests other than streams,
	 * and of streams that are sent again.
	 */
	private static final long MIN_LIKELY_MS = 1_000;

	/** Routes whose durations are kept; those that were not used are dropped first. */
	private static final int MAX_ROUTES = 512;

	private final Map<String, Durations> durations = new LinkedHashMap<>(16, 0.75F, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Durations> eldest) {
			return size() > MAX_ROUTES;
		}

	};

	/**
	 * Record a request that succeeded. Failures tell nothing about how long it takes.
	 * @param route its route
	 * @param ms milliseconds from its arrival to the end of its response
	 * @param inParts whether the response was passed on in parts, as those of streams are
	 * and those that are too large to be buffered
	 */
	public void answered(ServiceRoute route, long ms, boolean inParts) {
		this.durations.computeIfAbsent(route.name(), (name) -> new Durations()).add(ms, inParts);
	}

	/**
	 * Return whether the responses of a route are passed on in parts, so that one that is
	 * cut has no final response.
	 * @param route the route
	 * @return whether it has streams, or more than a tenth of its last responses were
	 * passed on so
	 */
	public boolean passesOnParts(ServiceRoute route) {
		Durations known = this.durations.get(route.name());
		return route.streaming() || (known != null && known.oftenInParts());
	}

	/**
	 * Record a request that reached its time limit. A stream would have taken longer by
	 * an unknown time; others get a final response in any case.
	 * @param route its route
	 */
	public void expired(ServiceRoute route) {
		if (passesOnParts(route)) {
			answered(route, Long.MAX_VALUE, true);
		}
	}

	/**
	 * Decide whether a request is sent.
	 * @param route its route
	 * @param limitMs milliseconds until its time limit
	 * @param drain the times of the drain
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is expected to end before the router stops
	 */
	public boolean mayBegin(ServiceRoute route, long limitMs, DrainTimes drain, long now) {
		long expectedMs = passesOnParts(route) ? streamMs(route, limitMs, drain.allowsEstimates(now)) : likelyMs(route);
		return Math.min(limitMs, expectedMs) < drain.leftMs(now);
	}

	/**
	 * Decide whether a request whose response is passed on in parts, of which none was
	 * passed on yet, is sent again after it may have run. It fails otherwise, so it is
	 * sent if its route's last requests took less than the time left, whatever the load
	 * balancer does.
	 * @param route its route
	 * @param limitMs milliseconds until its time limit
	 * @param drain the times of the drain
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is likely to end before the router stops
	 */
	public boolean mayRepeat(ServiceRoute route, long limitMs, DrainTimes drain, long now) {
		return Math.min(limitMs, likelyMs(route)) < drain.leftMs(now);
	}

	private long streamMs(ServiceRoute route, long limitMs, boolean estimated) {
		Durations known = this.durations.get(route.name());
		return (estimated && known != null && known.count >= MIN_STREAMS) ? known.expectedMs() : limitMs;
	}

	private long likelyMs(ServiceRoute route) {
		Durations known = this.durations.get(route.name());
		return (known != null) ? Math.max(MIN_LIKELY_MS, known.expectedMs()) : MIN_LIKELY_MS;
	}

	private static final class Durations {

		private final long[] last = new long[SAMPLES];

		private final boolean[] inParts = new boolean[SAMPLES];

		private int count;

		private int next;

		void add(long ms, boolean parts) {
			this.last[this.next] = ms;
			this.inParts[this.next] = parts;
			this.next = (this.next + 1) % SAMPLES;
			this.count = Math.min(SAMPLES, this.count + 1);
		}

		boolean oftenInParts() {
			int parts = 0;
			for (int i = 0; i < this.count; i++) {
				if (this.inParts[i]) {
					parts++;
				}
			}
			return this.count - parts < EXPECTED_QUANTILE * this.count;
		}

		long expectedMs() {
			long[] sorted = Arrays.copyOf(this.last, this.count);
			Arrays.sort(sorted);
			return sorted[(int) Math.ceil(EXPECTED_QUANTILE * this.count) - 1];
		}

	}

}

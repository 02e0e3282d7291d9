package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

/**
 * Requests in flight at the other routers, from their last messages. Invariant: a message
 * older than {@link #MAX_AGE_NANOS} is ignored, so the load of a dead router disappears.
 * If only some of the live routers sent a message within that time, their load is scaled
 * up to all live routers. Confined to the event loop.
 */
public final class FleetLoads {

	/** Age from which a message is ignored, in nanoseconds: five missed messages. */
	static final long MAX_AGE_NANOS = 1_500_000_000L;

	private final Map<String, Report> reports = new HashMap<>();

	private final NanoClock clock;

	private long liveNanos = MAX_AGE_NANOS;

	/**
	 * Create an empty table.
	 * @param clock the monotonic clock
	 */
	public FleetLoads(NanoClock clock) {
		this.clock = clock;
	}

	/**
	 * Record a message of another router, or one of the parts of a long one.
	 * @param router the router's id
	 * @param incarnation the incarnation of its process
	 * @param sequence the message's number within the incarnation, the same for all parts
	 * @param inFlight its requests in flight by server id
	 */
	public void report(String router, long incarnation, long sequence, Map<String, Integer> inFlight) {
		Report last = this.reports.get(router);
		boolean sameProcess = last != null && last.incarnation == incarnation;
		if (sameProcess && last.sequence > sequence) {
			return;
		}
		Map<String, Integer> merged = new HashMap<>(inFlight);
		if (sameProcess && last.sequence == sequence) {
			merged.putAll(last.inFlight);
		}
		this.reports.put(router, new Report(incarnation, sequence, this.clock.nanoTime(), merged));
	}

	/**
	 * Set how many other routers are known, and forget those that are not live.
	 * @param known the number, at least 0
	 */
	public void routers(int known) {
		this.liveNanos = TimeUnit.MILLISECONDS.toNanos(ExchangePolicy.livenessTimeoutMs(known));
		long now = this.clock.nanoTime();
		this.reports.values().removeIf((report) -> now - report.at > this.liveNanos);
	}

	/**
	 * Estimate the requests in flight of all live routers.
	 * @return the requests in flight by server id
	 */
	public Map<String, Integer> inFlight() {
		Map<String, Integer> sum = new HashMap<>();
		long now = this.clock.nanoTime();
		int recent = 0;
		for (Report report : this.reports.values()) {
			if (now - report.at <= MAX_AGE_NANOS) {
				recent++;
				report.inFlight.forEach((server, count) -> sum.merge(server, count, Integer::sum));
			}
		}
		if (this.liveNanos > MAX_AGE_NANOS && recent > 0) {
			double scale = (double) live() / recent;
			sum.replaceAll((server, count) -> (int) Math.round(count * scale));
		}
		return sum;
	}

	/**
	 * Count the other routers that count as live.
	 * @return the number, at least 0
	 */
	public int live() {
		long now = this.clock.nanoTime();
		return (int) this.reports.values().stream().filter((report) -> now - report.at <= this.liveNanos).count();
	}

	private record Report(long incarnation, long sequence, long at, Map<String, Integer> inFlight) {
	}

}

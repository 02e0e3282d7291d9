package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.agrona.concurrent.NanoClock;

/**
 * What the other routers have in flight, from their last messages. Invariant: a message
 * older than {@link #MAX_AGE} counts for nothing, so the load of a router that died does
 * not stay. In a fleet of which only a sample was heard within that time, the sample
 * stands for all live routers. Confined to the event loop.
 */
public final class FleetLoads {

	/** Age from which a message is ignored, in nanoseconds: five missed messages. */
	static final long MAX_AGE = 1_500_000_000L;

	private final Map<String, Report> reports = new HashMap<>();

	private final NanoClock clock;

	private long liveNanos = MAX_AGE;

	/**
	 * Create an empty table.
	 * @param clock the monotonic clock
	 */
	public FleetLoads(NanoClock clock) {
		this.clock = clock;
	}

	/**
	 * Note a message.
	 * @param router the router's id
	 * @param incarnation the incarnation of its process
	 * @param sequence the message's number within the incarnation
	 * @param inFlight its requests in flight by server id
	 */
	public void report(String router, long incarnation, long sequence, Map<String, Integer> inFlight) {
		Report last = this.reports.get(router);
		if (last != null && last.incarnation == incarnation && last.sequence >= sequence) {
			return;
		}
		this.reports.put(router, new Report(incarnation, sequence, this.clock.nanoTime(), inFlight));
	}

	/**
	 * Set how many other routers are known, and forget those that are not live.
	 * @param known the number, at least 0
	 */
	public void routers(int known) {
		this.liveNanos = TimeUnit.MILLISECONDS.toNanos(ExchangePolicy.liveMs(known));
		long now = this.clock.nanoTime();
		this.reports.values().removeIf((report) -> now - report.at > this.liveNanos);
	}

	/**
	 * Estimate the requests of the live routers.
	 * @return the requests in flight by server id
	 */
	public Map<String, Integer> inFlight() {
		Map<String, Integer> sum = new HashMap<>();
		long now = this.clock.nanoTime();
		int heard = 0;
		for (Report report : this.reports.values()) {
			if (now - report.at <= MAX_AGE) {
				heard++;
				report.inFlight.forEach((server, count) -> sum.merge(server, count, Integer::sum));
			}
		}
		if (this.liveNanos > MAX_AGE && heard > 0) {
			double scale = (double) live() / heard;
			sum.replaceAll((server, count) -> (int) Math.round(count * scale));
		}
		return sum;
	}

	/**
	 * Count the routers that were heard of lately.
	 * @return the number, at least 0
	 */
	public int live() {
		long now = this.clock.nanoTime();
		return (int) this.reports.values().stream().filter((report) -> now - report.at <= this.liveNanos).count();
	}

	private record Report(long incarnation, long sequence, long at, Map<String, Integer> inFlight) {
	}

}

package org.acaciamux.internal.coordination.speed;

import org.acaciamux.internal.coordination.direct.ReportedLoad;

/**
 * Load of one backend server: the requests of this router and of the others, the last
 * report, and the server's speed. Invariant: {@link #inFlight()} counts the sends of this
 * router that have not ended. Confined to the event loop.
 */
public final class ServerLoad {

	/** Age above which a reported load is ignored, in nanoseconds. */
	private static final long MAX_REPORT_AGE_NANOS = 500_000_000L;

	private static final long NANOS_PER_MS = 1_000_000;

	private final ServerSpeed speed = new ServerSpeed();

	private int inFlight;

	private int peersInFlight;

	private ReportedLoad reported;

	private long reportedAt;

	/**
	 * Count a request of this router.
	 */
	public void started() {
		this.inFlight++;
	}

	/**
	 * Count the end of a request of this router.
	 */
	public void ended() {
		this.inFlight--;
	}

	/**
	 * Return the number of this router's requests at the server.
	 * @return the number, at least 0
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Set the number of the other routers' requests at the server.
	 * @param requests the number, at least 0
	 */
	public void peersInFlight(int requests) {
		this.peersInFlight = requests;
	}

	/**
	 * Record the load that the server reports.
	 * @param load the load
	 * @param now the monotonic time in nanoseconds
	 */
	public void reported(ReportedLoad load, long now) {
		this.reported = load;
		this.reportedAt = now;
		this.speed.reported(load.reportedPercent(), now);
	}

	/**
	 * Forget the reports, because the server was restarted.
	 */
	public void restarted() {
		this.reported = null;
		this.speed.restarted();
	}

	/**
	 * Return the speed of the server.
	 * @return the speed, which is kept up to date
	 */
	public ServerSpeed speed() {
		return this.speed;
	}

	/**
	 * Estimate the number of requests that the server has from all routers.
	 * @param now the monotonic time in nanoseconds
	 * @return the number, at least 0
	 */
	public int load(long now) {
		int known = this.inFlight + this.peersInFlight;
		return recent(now) ? Math.max(known, this.reported.running() + this.reported.waiting()) : known;
	}

	private boolean recent(long now) {
		return this.reported != null && now - this.reportedAt <= MAX_REPORT_AGE_NANOS;
	}

	/**
	 * Estimate the waiting and service time of one more request.
	 * @param slots requests that the server processes at once
	 * @param now the monotonic time in nanoseconds
	 * @return the estimate
	 */
	public ServerEstimate estimate(int slots, long now) {
		return new ServerEstimate(load(now), recent(now) ? this.reported.waiting() : 0, Math.max(1, slots),
				this.speed.factor(now));
	}

	/**
	 * Describe the load for the log.
	 * @param now the monotonic time in nanoseconds
	 * @return the counts, with the age of the reported load
	 */
	public String describe(long now) {
		long ageMs = (this.reported != null) ? (now - this.reportedAt) / NANOS_PER_MS : -1;
		String figure = this.speed.reports() ? String.format(" factor=%.2f", this.speed.factor(now)) : "";
		return "own=" + this.inFlight + " others=" + this.peersInFlight + " reported="
				+ ((this.reported != null) ? this.reported.running() + "+" + this.reported.waiting() : "none")
				+ " reportAgeMs=" + ageMs + figure;
	}

}

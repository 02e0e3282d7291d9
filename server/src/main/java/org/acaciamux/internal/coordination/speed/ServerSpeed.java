package org.acaciamux.internal.coordination.speed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Factor by which work takes longer than usual at one backend server. Answers servers
 * that share their VMs with others and are slow for some hundred milliseconds at a time.
 * The server's last report counts less the older it is; the rest of the weight is on the
 * router's own observations: the durations of recent responses, and how long the requests
 * in flight have taken already. Invariants: the factor of a server that never reported a
 * duration is 1.0; without new observations every factor returns to 1.0. Confined to the
 * event loop.
 */
public final class ServerSpeed {

	/**
	 * Time constant of the weight of a report, in nanoseconds: below the 600 ms that slow
	 * periods last.
	 */
	private static final double REPORT_DECAY_NANOS = 400_000_000;

	/** Age above which a report is ignored, in nanoseconds. */
	private static final long MAX_REPORT_AGE_NANOS = 500_000_000L;

	/** Time constant of the weight of own responses, in nanoseconds. */
	private static final double RESPONSE_DECAY_NANOS = 400_000_000;

	/** Age from which an own response is ignored, in nanoseconds. */
	private static final long MAX_RESPONSE_AGE_NANOS = 1_000_000_000L;

	/** Responses whose median counts: a single long request does not slow a server. */
	private static final int RECENT_RESPONSES = 3;

	/** Responses from which the usual duration is known. */
	private static final int MIN_USUAL_RESPONSES = 8;

	/** Weight of the newest response in the usual duration. */
	private static final double USUAL_WEIGHT = 0.05;

	/**
	 * Multiple of the usual duration up to which own requests do not show a slow server:
	 * requests of one service differ by about this much.
	 */
	private static final double MIN_SLOW_RATIO = 1.5;

	/** Smallest factor: a wrong report must not draw all requests to a server. */
	private static final double MIN_FACTOR = 0.5;

	/** Largest factor: a slow server still gets some requests. */
	private static final double MAX_FACTOR = 4;

	private static final double PERCENT = 100;

	private final Set<Run> running = new LinkedHashSet<>();

	private final Deque<Response> responses = new ArrayDeque<>();

	private boolean reports;

	private double reported = 1;

	private long reportedAt;

	private double usualNanos;

	private int usualResponses;

	/**
	 * Record a report of the server.
	 * @param percent duration of work in percent of the usual, empty if the report has no
	 * such figure
	 * @param now the monotonic time in nanoseconds
	 */
	public void reported(OptionalInt percent, long now) {
		percent.ifPresent((value) -> {
			this.reports = true;
			this.reported = limited(value / PERCENT);
			this.reportedAt = now;
		});
	}

	/**
	 * Forget what is known, because the server was restarted.
	 */
	public void restarted() {
		this.reports = false;
		this.responses.clear();
		this.running.clear();
		this.usualResponses = 0;
	}

	/**
	 * Return whether the server has reported a duration in this lifetime.
	 * @return whether the factor can differ from 1.0
	 */
	public boolean reports() {
		return this.reports;
	}

	/**
	 * Record that a request is sent to the server.
	 * @param units its size, in a unit that is the same for all requests to the server
	 * @param now the monotonic time in nanoseconds
	 * @return the request, to be passed to {@link #completed} or {@link #ended}
	 */
	public Run started(double units, long now) {
		Run run = new Run(units, now);
		this.running.add(run);
		return run;
	}

	/**
	 * Record that the server has completed a request.
	 * @param run the request
	 * @param now the monotonic time in nanoseconds
	 */
	public void completed(Run run, long now) {
		if (!this.running.remove(run)) {
			return;
		}
		double unitNanos = (now - run.startedAt) / run.units;
		double usual = unitNanos / factor(now);
		this.usualNanos = (this.usualResponses == 0) ? usual
				: this.usualNanos + Math.max(USUAL_WEIGHT, 1.0 / (this.usualResponses + 1)) * (usual - this.usualNanos);
		this.usualResponses++;
		this.responses.addLast(new Response(unitNanos, now));
		if (this.responses.size() > RECENT_RESPONSES) {
			this.responses.removeFirst();
		}
	}

	/**
	 * Record that a request ended without being completed. Has no effect after
	 * {@link #completed}.
	 * @param run the request
	 */
	public void ended(Run run) {
		this.running.remove(run);
	}

	/**
	 * Return the factor.
	 * @param now the monotonic time in nanoseconds
	 * @return the duration of work as a multiple of the usual, 1.0 if nothing is known
	 */
	public double factor(long now) {
		if (!this.reports) {
			return 1;
		}
		long age = now - this.reportedAt;
		double weight = (age <= MAX_REPORT_AGE_NANOS) ? Math.exp(-age / REPORT_DECAY_NANOS) : 0;
		return limited(1 + weight * (this.reported - 1) + (1 - weight) * (observed(now) - 1));
	}

	private double observed(long now) {
		if (this.usualResponses < MIN_USUAL_RESPONSES || this.usualNanos <= 0) {
			return 1;
		}
		this.responses.removeIf((response) -> now - response.at > MAX_RESPONSE_AGE_NANOS);
		double slowest = this.running.stream().mapToDouble((run) -> (now - run.startedAt) / run.units).max().orElse(0);
		double inFlight = slow(slowest / this.usualNanos);
		if (this.responses.isEmpty()) {
			return inFlight;
		}
		double[] sorted = this.responses.stream().mapToDouble(Response::unitNanos).sorted().toArray();
		double weight = Math.exp((this.responses.getLast().at - now) / RESPONSE_DECAY_NANOS);
		double recent = 1 + weight * (slow(sorted[(sorted.length - 1) / 2] / this.usualNanos) - 1);
		return Math.max(recent, inFlight);
	}

	private static double slow(double ratio) {
		return (ratio > MIN_SLOW_RATIO) ? ratio : 1;
	}

	private static double limited(double factor) {
		return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
	}

	/**
	 * A request in flight at the server. Immutable and thread-safe.
	 */
	public static final class Run {

		private final double units;

		private final long startedAt;

		private Run(double units, long startedAt) {
			this.units = Math.max(1, units);
			this.startedAt = startedAt;
		}

	}

	private record Response(double unitNanos, long at) {
	}

}

package org.acaciamux.examples.bench.isolation;

import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.HdrHistogram.Histogram;

import org.acaciamux.internal.coordination.admission.AdmissionControl;
import org.acaciamux.internal.coordination.admission.AdmissionControl.Decision;
import org.acaciamux.internal.coordination.admission.Queued;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.PrioritySpec;

/**
 * A simulation of the requests of ten organisations at one agent in virtual time.
 * Organisation 0 may surge; the others are called well-behaved. Not thread-safe.
 */
final class IsolationRun {

	private static final int ORGANISATIONS = 10;

	/**
	 * Requests of one organisation. Together the ten organisations use 7/8 of the
	 * server's capacity while none surges.
	 */
	private static final double ARRIVALS_PER_SECOND = 7.0;

	private static final int CONCURRENCY = 16;

	private static final double SERVICE_MS = 200.0;

	private static final long DURATION_MS = 600_000;

	private static final long DEADLINE_MS = 60_000;

	private static final double MS_PER_SECOND = 1_000.0;

	private static final PoolLoad SINGLE_AGENT = new PoolLoad(1, 0, 0);

	private final RandomGenerator random;

	private final double surge;

	private final boolean fair;

	private final PoolSpec pool = new PoolSpec("bench", true, true, 10.0, 0.5, 2, CONCURRENCY, 512, 30_000, 30_000, 16,
			900_000, false, "", List.of());

	private final AdmissionControl<Job> admission = new AdmissionControl<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Histogram others = new Histogram(3);

	private final Histogram surging = new Histogram(3);

	private final int[] arrived = new int[2];

	private final int[] refused = new int[2];

	IsolationRun(long seed, double surge, boolean fair) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.surge = surge;
		this.fair = fair;
	}

	Waits run() {
		for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
			scheduleArrival(organisation, 0);
		}
		while (!this.events.isEmpty() && this.events.peek().atMs < DURATION_MS) {
			Event event = this.events.poll();
			if (event.organisation < 0) {
				this.admission.ended(true, event.atMs);
			}
			else {
				arrive(event.organisation, event.atMs);
			}
			this.admission.expire(this.pool, event.atMs).forEach((job) -> this.refused[job.group()]++);
			this.admission.admit(this.pool, SINGLE_AGENT, event.atMs).forEach((job) -> start(job, event.atMs));
		}
		return new Waits(this.others, this.surging, refusedShare(0), refusedShare(1));
	}

	private double refusedShare(int group) {
		return (double) this.refused[group] / this.arrived[group];
	}

	private void scheduleArrival(int organisation, long nowMs) {
		double rate = ARRIVALS_PER_SECOND * ((organisation == 0) ? this.surge : 1.0);
		double waitMs = -Math.log(1.0 - this.random.nextDouble()) * MS_PER_SECOND / rate;
		this.events.add(new Event(nowMs + Math.max(1, Math.round(waitMs)), organisation));
	}

	private void arrive(int organisation, long nowMs) {
		Job job = new Job(organisation, this.fair, nowMs);
		this.arrived[job.group()]++;
		Decision decision = this.admission.offer(job, this.pool, SINGLE_AGENT, false, nowMs).decision();
		if (decision == Decision.ADMIT) {
			start(job, nowMs);
		}
		else if (decision != Decision.QUEUE) {
			this.refused[job.group()]++;
		}
		scheduleArrival(organisation, nowMs);
	}

	private void start(Job job, long nowMs) {
		Histogram histogram = (job.group() == 1) ? this.surging : this.others;
		histogram.recordValue(nowMs - job.arrivedMs());
		double serviceMs = -Math.log(1.0 - this.random.nextDouble()) * SERVICE_MS;
		this.events.add(new Event(nowMs + Math.max(1, Math.round(serviceMs)), -1));
	}

	/**
	 * The waits and refusals of one run.
	 *
	 * @param others waits of the well-behaved organisations in milliseconds
	 * @param surging waits of the surging organisation in milliseconds
	 * @param othersRefused share of the well-behaved organisations' requests refused
	 * @param surgingRefused share of the surging organisation's requests refused
	 */
	record Waits(Histogram others, Histogram surging, double othersRefused, double surgingRefused) {
	}

	/**
	 * An arrival of a request or, if the organisation is negative, the end of a running
	 * request.
	 */
	private record Event(long atMs, int organisation) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return Long.compare(this.atMs, other.atMs);
		}

	}

	private static final class Job implements Queued {

		private final int index;

		private final OrganisationSpec organisation;

		private final long arrivedMs;

		private Job(int index, boolean fair, long arrivedMs) {
			this.index = index;
			String name = fair ? "organisation-" + index : "all";
			this.organisation = fair ? OrganisationSpec.defaults(name) : new OrganisationSpec(name, 1, 1.0);
			this.arrivedMs = arrivedMs;
		}

		/**
		 * Return the index of this job in the arrays of counters.
		 * @return 1 for the surging organisation, 0 for all others
		 */
		private int group() {
			return (this.index == 0) ? 1 : 0;
		}

		@Override
		public OrganisationSpec organisation() {
			return this.organisation;
		}

		@Override
		public PrioritySpec priority() {
			return PrioritySpec.defaults("normal");
		}

		@Override
		public long arrivedMs() {
			return this.arrivedMs;
		}

		@Override
		public long deadlineMs() {
			return this.arrivedMs + DEADLINE_MS;
		}

	}

}

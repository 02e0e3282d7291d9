package org.acaciamux.internal.coordination.direct;

import java.util.HashMap;
import java.util.Map;

import org.agrona.concurrent.NanoClock;

/**
 * Compares each organisation's current share of the requests with its usual one. If one
 * organisation sends many times its usual share while slots are scarce, the excess gets
 * only free slots. A surge of all organisations changes no share and causes no excess.
 * Confined to the event loop.
 */
public final class OrganisationShares {

	/**
	 * Time constant of the current share, in seconds: covers about 40 requests at 10 a
	 * second.
	 */
	private static final double CURRENT_TIME_CONSTANT_S = 4;

	/** Time constant of the usual share, in seconds: a surge of 5 s changes it little. */
	private static final double USUAL_TIME_CONSTANT_S = 60;

	/** Multiple of its usual requests that an organisation may send without excess. */
	private static final double TOLERATED_FACTOR = 2;

	/**
	 * Requests for each request of the others that any organisation may send without
	 * excess: 4 of 40 occur by chance.
	 */
	private static final double TOLERATED_ODDS = 0.1;

	/**
	 * Largest share in the comparison: a single organisation would cause a division by
	 * zero.
	 */
	private static final double MAX_SHARE = 0.99;

	/** Time after the start before usual shares are known, in seconds. */
	private static final double LEARNING_S = 12;

	private static final double NANOS_PER_S = 1e9;

	private final Map<String, Share> organisations = new HashMap<>();

	private final NanoClock clock;

	private final boolean fromFirstRequest;

	private long startedAt;

	private double total;

	private long totalAt;

	/**
	 * Create shares without requests.
	 * @param clock the monotonic clock
	 */
	public OrganisationShares(NanoClock clock) {
		this(clock, false);
	}

	/**
	 * Create shares without requests.
	 * @param clock the monotonic clock
	 * @param fromFirstRequest whether usual shares are learned from the first request on.
	 * A router that was idle after its start otherwise takes the usual share of every
	 * organisation for a fraction of what it is, and most requests for excess
	 */
	public OrganisationShares(NanoClock clock, boolean fromFirstRequest) {
		this.clock = clock;
		this.fromFirstRequest = fromFirstRequest;
		this.startedAt = clock.nanoTime();
		this.totalAt = this.startedAt;
	}

	/**
	 * Record a request.
	 * @param organisation the organisation that sent it
	 */
	public void recordRequest(String organisation) {
		long now = this.clock.nanoTime();
		if (this.fromFirstRequest && this.organisations.isEmpty()) {
			this.startedAt = now;
		}
		this.total = total(now) + 1;
		this.totalAt = now;
		Share share = this.organisations.computeIfAbsent(organisation, (name) -> new Share(now));
		share.requests = share.requests(now) + 1;
		share.average(now, share.requests / this.total);
	}

	/**
	 * Decide whether a recorded request is in excess. An organisation above its usual
	 * share still gets as many requests without excess as that share allows.
	 * @param organisation the organisation that sent it
	 * @return whether the request is in excess of what the organisation usually sends
	 */
	public boolean excess(String organisation) {
		Share share = this.organisations.get(organisation);
		if (share == null) {
			return false;
		}
		share.credit += allowedFraction(share);
		if (share.credit < 1) {
			return true;
		}
		share.credit = Math.min(1, share.credit - 1);
		return false;
	}

	private double allowedFraction(Share share) {
		long now = this.clock.nanoTime();
		if (now - this.startedAt < LEARNING_S * NANOS_PER_S) {
			return 1;
		}
		double usual = share.average / (1 - decay(now - this.startedAt, USUAL_TIME_CONSTANT_S));
		double current = share.requests(now) / total(now);
		return Math.min(1, (TOLERATED_FACTOR * odds(usual) + TOLERATED_ODDS) / odds(current));
	}

	// Requests for each request of the other organisations. Unlike the share of all
	// requests, this does not raise an organisation's own limit when it sends more.
	private static double odds(double share) {
		double part = Math.min(MAX_SHARE, share);
		return part / (1 - part);
	}

	private double total(long now) {
		return this.total * decay(now - this.totalAt, CURRENT_TIME_CONSTANT_S);
	}

	private static double decay(long nanos, double timeConstant) {
		return Math.exp(-nanos / NANOS_PER_S / timeConstant);
	}

	private static final class Share {

		private double requests;

		/** Requests that may still be sent without excess, 0.0 to 1.0. */
		private double credit;

		/** Share averaged over time, counted as 0 before the first request. */
		private double average;

		private long at;

		Share(long now) {
			this.at = now;
		}

		double requests(long now) {
			return this.requests * decay(now - this.at, CURRENT_TIME_CONSTANT_S);
		}

		void average(long now, double share) {
			double old = decay(now - this.at, USUAL_TIME_CONSTANT_S);
			this.average = old * this.average + (1 - old) * share;
			this.at = now;
		}

	}

}

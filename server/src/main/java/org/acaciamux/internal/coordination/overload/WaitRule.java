package org.acaciamux.internal.coordination.overload;

/**
 * How long a request may wait for a slot of its server instead of being refused.
 * Immutable and thread-safe.
 */
public enum WaitRule {

	/**
	 * A share of the goal by rank. Requests of an organisation that sends more than usual
	 * get free slots only.
	 */
	SHARE_OF_GOAL {

		@Override
		public double maxWaitMs(double goalMs, double limitMs, double usualMs, int rank, boolean excess) {
			return excess ? 0 : goalMs * GOAL_SHARE * rankFactor(rank);
		}

	},

	/**
	 * The part of the time limit that the request itself does not need. Answers services
	 * with a few slots each, whose callers send in waves, in clumps and with bursts of
	 * one kind, seen by many routers with counts that are older than a request takes. A
	 * refused caller comes back later than a short wait would have taken, so a request is
	 * refused only if its time does not suffice. An organisation that sends more than
	 * usual does not wait beyond a share of the goal, so that its burst does not fill the
	 * queues that the others need.
	 */
	REST_OF_TIME_LIMIT {

		@Override
		public double maxWaitMs(double goalMs, double limitMs, double usualMs, int rank, boolean excess) {
			double share = goalMs * GOAL_SHARE;
			double rest = Math.max(share, limitMs - DURATION_FACTOR * usualMs);
			return (excess ? share : rest) * rankFactor(rank);
		}

	};

	/** Share of the response time goal that a request of rank 0 may wait for a slot. */
	private static final double GOAL_SHARE = 0.4;

	/**
	 * Fraction of the longest wait of rank 0 by which each less urgent rank reduces the
	 * wait, so that urgent requests can still wait when less urgent ones are refused.
	 */
	private static final double REDUCTION_PER_RANK = 0.25;

	/**
	 * Smallest fraction of the longest wait of rank 0 for any rank, so that requests of
	 * every rank may wait.
	 */
	private static final double MIN_RANK_FACTOR = 0.25;

	/**
	 * Multiple of the usual duration that a request may take: the durations of one
	 * service differ by half.
	 */
	private static final double DURATION_FACTOR = 1.5;

	/**
	 * Return the longest wait.
	 * @param goalMs the route's goal for the time until the response, in milliseconds
	 * @param limitMs longest time until the response, in milliseconds
	 * @param usualMs usual duration of the service's requests without waiting, in
	 * milliseconds
	 * @param rank the rank of the request; 0 is the most urgent
	 * @param excess whether its organisation sends more than usual
	 * @return the wait in milliseconds, at least 0
	 */
	public abstract double maxWaitMs(double goalMs, double limitMs, double usualMs, int rank, boolean excess);

	private static double rankFactor(int rank) {
		return Math.max(MIN_RANK_FACTOR, 1 - REDUCTION_PER_RANK * rank);
	}

}

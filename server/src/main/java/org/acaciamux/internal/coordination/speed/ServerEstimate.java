package org.acaciamux.internal.coordination.speed;

/**
 * Estimate of the waiting and service time of one more request at a backend server. Used
 * by placement and admission alike, and for the waiting time that a refused caller is
 * told. Answers servers that are slow for a short time while up to 24 routers read the
 * same late reports: {@link #choiceCost} spreads the requests of all routers in
 * proportion to what the servers can take, so that none gets all or nothing. Immutable
 * and thread-safe.
 *
 * @param load requests that the server has from all routers
 * @param waiting requests that it reports as waiting
 * @param slots requests that it processes at once, at least 1
 * @param factor duration of work as a multiple of the usual
 */
public record ServerEstimate(int load, int waiting, int slots, double factor) {

	/** Cost of each request in a server's queue, in milliseconds. */
	private static final double MS_PER_WAITING_REQUEST = 50;

	/** Usual length of a slow period, in milliseconds. */
	private static final double SLOW_PERIOD_MS = 600;

	/**
	 * Number of further running requests that delay an output token of a model engine as
	 * much as the first one: 3.4 ms and 0.097 ms at the engines in use.
	 */
	private static final double BASE_STEP_REQUESTS = 35;

	/**
	 * Exponent of the share that a server gets by its response time. A larger one sends
	 * nearly everything to the fastest server between two reports, a smaller one leaves
	 * too much at a slow server.
	 */
	private static final double CHOICE_EXPONENT = 4;

	/** Weight of the share of slots in use, compared with the speed of the server. */
	private static final double USED_WEIGHT = 2;

	/** Cost at which all else is equal, in milliseconds; below every penalty. */
	private static final double CHOICE_MS = 10;

	/**
	 * Estimate how long one more request waits for a slot.
	 * @param meanMs mean duration of the service's requests, in milliseconds
	 * @return the time in milliseconds, 0 if a slot is free
	 */
	public double waitMs(double meanMs) {
		return meanMs * waitShare();
	}

	/**
	 * Return how long one more request waits for a slot.
	 * @return the time as a multiple of the duration of a request, 0 if a slot is free
	 */
	public double waitShare() {
		return Math.max(0, this.load + 1 - this.slots) * this.factor / this.slots;
	}

	/**
	 * Return the cost of the server's queue.
	 * @return the cost in milliseconds
	 */
	public double queueMs() {
		return this.waiting * MS_PER_WAITING_REQUEST;
	}

	/**
	 * Return the cost of the load of a plain server, which processes the requests in its
	 * slots independently.
	 * @return the cost in milliseconds
	 */
	public double usedMs() {
		return (double) this.load / this.slots * MS_PER_WAITING_REQUEST;
	}

	/**
	 * Return the cost of a plain server whose service reports the duration of work. The
	 * least cost of exponentially distributed ones is drawn with a probability in
	 * proportion to the inverse of their means, so each server gets a share by its
	 * response time.
	 * @param uniform a number from 0.0 to below 1.0, uniform over servers and requests
	 * @return the cost in milliseconds
	 */
	public double choiceCost(double uniform) {
		double response = this.factor * (1 + USED_WEIGHT * this.load / this.slots);
		return -Math.log(1 - uniform) * CHOICE_MS * Math.pow(response, CHOICE_EXPONENT);
	}

	/**
	 * Return the time that a request to a model engine loses because the engine is slow.
	 * @param readMs usual time of reading the prompt, in milliseconds
	 * @param outputTokens output tokens
	 * @param stepMs milliseconds by which a running request delays each output token
	 * @return the time in milliseconds, 0 at an engine that is not slow
	 */
	public double lostMs(double readMs, int outputTokens, double stepMs) {
		if (this.factor <= 1) {
			return 0;
		}
		double usualMs = readMs + outputTokens * stepMs * (BASE_STEP_REQUESTS + this.load);
		// A slow period ends while a long request runs.
		return Math.min(usualMs * (this.factor - 1), SLOW_PERIOD_MS * (1 - 1 / this.factor));
	}

}

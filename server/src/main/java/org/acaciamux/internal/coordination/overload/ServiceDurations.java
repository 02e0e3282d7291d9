package org.acaciamux.internal.coordination.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Usual durations of the requests of each service without the time for which they wait
 * for a slot. A mean that includes the waiting rises with the load, and with it every
 * estimate of a wait, so that more is refused than has to be. Confined to the event loop.
 */
public final class ServiceDurations {

	/** Assumed duration until a request of the service has ended, in milliseconds. */
	private static final double INITIAL_MS = 50;

	/** Weight of the newest request. */
	private static final double WEIGHT = 0.02;

	private final Map<String, Double> usualMs = new HashMap<>();

	/**
	 * Record a request that was answered.
	 * @param service its service
	 * @param ms milliseconds from sending to the end of the response
	 * @param waitShare estimated wait when it was sent, as a multiple of the duration of
	 * a request
	 */
	public void answered(String service, double ms, double waitShare) {
		this.usualMs.merge(service, ms / (1 + waitShare), (usual, next) -> usual + WEIGHT * (next - usual));
	}

	/**
	 * Return the usual duration.
	 * @param service the service
	 * @return the duration in milliseconds
	 */
	public double usualMs(String service) {
		return this.usualMs.getOrDefault(service, INITIAL_MS);
	}

}

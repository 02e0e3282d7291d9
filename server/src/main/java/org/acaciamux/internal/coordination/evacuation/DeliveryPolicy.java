package org.acaciamux.internal.coordination.evacuation;

/**
 * Decides whether a request that was written before its server was evacuated may not have
 * arrived there yet. Answers the load pattern of a link that stops delivering shortly
 * before the domain behind it is evacuated: the kernel sends the request again for
 * minutes, so it may arrive long after the change. Holds no state.
 */
public final class DeliveryPolicy {

	/**
	 * Connections that must fail before a request is given up: on a link that loses
	 * packets, a single one also fails to a sound server. Two take 1.2 s, which leaves
	 * most of the 5 s in which no request may arrive any more.
	 */
	public static final int PROBES = 2;

	private DeliveryPolicy() {
	}

	/**
	 * Return whether nothing shows that a request has arrived.
	 * @param sentAt when it was written, monotonic in nanoseconds
	 * @param lastReceivedAt when the router last received bytes from the server, on any
	 * connection
	 * @param responding whether the response has begun
	 * @return whether it may not have arrived
	 */
	public static boolean doubtful(long sentAt, long lastReceivedAt, boolean responding) {
		return !responding && lastReceivedAt - sentAt <= 0;
	}

}

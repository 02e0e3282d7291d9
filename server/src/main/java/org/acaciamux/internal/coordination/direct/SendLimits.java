package org.acaciamux.internal.coordination.direct;

/**
 * Limits of the requests that this router sends to a server, which placement observes.
 * Called on the event loop.
 */
public interface SendLimits {

	/** Limits nothing. */
	SendLimits NONE = new SendLimits() {

		@Override
		public boolean allows(ServerState server) {
			return true;
		}

		@Override
		public double costMs(ServerState server, CallerRequest request) {
			return 0;
		}

	};

	/**
	 * Return whether one more request may be sent to a server now.
	 * @param server the server
	 * @return whether it may be chosen
	 */
	boolean allows(ServerState server);

	/**
	 * Return what makes a server less suitable for a request.
	 * @param server the server
	 * @param request the request
	 * @return the additional cost in milliseconds
	 */
	double costMs(ServerState server, CallerRequest request);

}

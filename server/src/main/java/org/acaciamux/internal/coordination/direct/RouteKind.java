package org.acaciamux.internal.coordination.direct;

/**
 * What a route's requests allow the router to do after a failed attempt. Immutable and
 * thread-safe.
 */
public enum RouteKind {

	/** Requests may run any number of times. */
	IDEMPOTENT {

		@Override
		public boolean repeatable(boolean resumable) {
			return true;
		}

	},

	/** Requests run at most once for each attempt of the caller. */
	NON_IDEMPOTENT {

		@Override
		public boolean repeatable(boolean resumable) {
			return false;
		}

	},

	/** Responses are event streams; only requests of resumable ones may run again. */
	STREAMING {

		@Override
		public boolean repeatable(boolean resumable) {
			return resumable;
		}

	};

	/**
	 * Return whether a request that may have run may be sent to another server.
	 * @param resumable whether the route declares its streams resumable
	 * @return whether it may run again
	 */
	public abstract boolean repeatable(boolean resumable);

}

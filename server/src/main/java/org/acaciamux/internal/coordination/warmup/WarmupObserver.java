package org.acaciamux.internal.coordination.warmup;

/**
 * Receives the changes of cold servers, for the log and the metrics. Called on the event
 * loop.
 */
public interface WarmupObserver {

	/** Ignores all changes. */
	WarmupObserver NONE = new WarmupObserver() {

		@Override
		public void cold(String lifetime, ColdReason reason, long leftMs) {
			// Nothing to record.
		}

		@Override
		public void warm(String lifetime, ColdReason reason) {
			// Nothing to record.
		}

		@Override
		public void send(boolean withinShare) {
			// Nothing to record.
		}

	};

	/**
	 * A server counts as cold, or for another reason than before.
	 * @param lifetime its lifetime
	 * @param reason why
	 * @param leftMs for how long, in milliseconds
	 */
	void cold(String lifetime, ColdReason reason, long leftMs);

	/**
	 * A server no longer counts as cold.
	 * @param lifetime its lifetime
	 * @param reason why it was cold last
	 */
	void warm(String lifetime, ColdReason reason);

	/**
	 * A request is about to be sent to a cold server.
	 * @param withinShare whether this router's share allows it
	 */
	void send(boolean withinShare);

}

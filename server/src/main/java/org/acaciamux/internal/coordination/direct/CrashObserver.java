package org.acaciamux.internal.coordination.direct;

import java.util.Locale;

/**
 * Learns what {@link CrashSuspects} records and forgets, for logs and metrics. Called on
 * the event loop; must not block.
 */
@FunctionalInterface
public interface CrashObserver {

	/** Ignores all changes. */
	CrashObserver NONE = (change, fingerprint, detail) -> {
	};

	/**
	 * Observe a change.
	 * @param change what happened
	 * @param fingerprint the request's fingerprint
	 * @param detail further inputs for the log, as {@code key=value} pairs
	 */
	void changed(Change change, long fingerprint, String detail);

	/**
	 * Changes of the records. Immutable and thread-safe.
	 */
	enum Change {

		/** A response broke off; its server may have crashed. */
		SUSPECTED,

		/** The server of a broken response was not found to have crashed. */
		UNCONFIRMED,

		/** The server of a broken response crashed. */
		CONFIRMED,

		/** Another router has recorded a crash. */
		LEARNED,

		/** The request completed, which clears its crashes. */
		CLEARED,

		/** The record was dropped because there were too many. */
		EVICTED;

		/**
		 * Return the name in logs and metrics.
		 * @return the name, in lower case
		 */
		public String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}

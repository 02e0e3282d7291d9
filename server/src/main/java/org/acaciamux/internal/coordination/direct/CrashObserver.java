package org.acaciamux.internal.coordination.direct;

import java.util.Locale;

/**
 * Learns what {@link CrashSuspects} and {@link PromptSuspects} record and forget, for
 * logs and metrics. Called on the event loop; must not block.
 */
@FunctionalInterface
public interface CrashObserver {

	/** Ignores all changes. */
	CrashObserver NONE = (change, subject, detail) -> {
	};

	/**
	 * Observe a change.
	 * @param change what happened
	 * @param subject the request or prompt part, as a {@code key=value} pair
	 * @param detail further inputs for the log, as {@code key=value} pairs
	 */
	void changed(Change change, String subject, String detail);

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
		EVICTED,

		/** The first request was refused because of the crashes of a prompt part. */
		REFUSED;

		/**
		 * Return the name in logs and metrics.
		 * @return the name, in lower case
		 */
		public String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}

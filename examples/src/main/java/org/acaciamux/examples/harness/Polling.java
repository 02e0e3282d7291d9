package org.acaciamux.examples.harness;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Waits for conditions in other processes. Stateless.
 */
public final class Polling {

	private static final long POLL_INTERVAL_MS = 50;

	private Polling() {
	}

	/**
	 * Wait until a condition holds. Exceptions of the condition count as false.
	 * @param description the condition in words, for the error message
	 * @param seconds how long to wait at most
	 * @param condition the condition
	 */
	public static void await(String description, long seconds, BooleanSupplier condition) {
		await(() -> description, seconds, condition);
	}

	/**
	 * Wait until a condition holds. Exceptions of the condition count as false.
	 * @param description the condition in words and the state observed last, for the
	 * error message
	 * @param seconds how long to wait at most
	 * @param condition the condition
	 */
	public static void await(Supplier<String> description, long seconds, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + seconds * 1_000_000_000L;
		RuntimeException lastException = null;
		while (System.nanoTime() - deadlineNanos < 0) {
			try {
				if (condition.getAsBoolean()) {
					return;
				}
			}
			catch (RuntimeException ex) {
				lastException = ex;
			}
			pause(POLL_INTERVAL_MS);
		}
		throw new IllegalStateException("waited " + seconds + " s in vain until " + description.get(), lastException);
	}

	/**
	 * Sleep.
	 * @param ms milliseconds
	 */
	public static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}

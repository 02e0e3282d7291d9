package org.acaciamux.examples.harness;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Waits for conditions in other processes. Holds no state.
 */
public final class Polling {

	private static final long PAUSE_MS = 50;

	private Polling() {
	}

	/**
	 * Wait until a condition holds. Exceptions of the condition count as false.
	 * @param what the condition in words, for the error
	 * @param seconds how long to wait at most
	 * @param condition the condition
	 */
	public static void await(String what, long seconds, BooleanSupplier condition) {
		await(() -> what, seconds, condition);
	}

	/**
	 * Wait until a condition holds. Exceptions of the condition count as false.
	 * @param what the condition in words and what was seen, for the error
	 * @param seconds how long to wait at most
	 * @param condition the condition
	 */
	public static void await(Supplier<String> what, long seconds, BooleanSupplier condition) {
		long end = System.nanoTime() + seconds * 1_000_000_000L;
		RuntimeException last = null;
		while (System.nanoTime() - end < 0) {
			try {
				if (condition.getAsBoolean()) {
					return;
				}
			}
			catch (RuntimeException ex) {
				last = ex;
			}
			pause(PAUSE_MS);
		}
		throw new IllegalStateException("waited " + seconds + " s in vain until " + what.get(), last);
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

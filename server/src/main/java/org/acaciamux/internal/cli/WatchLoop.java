package org.acaciamux.internal.cli;

import java.util.List;
import java.util.function.Supplier;

import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.ObjectStore.Listing;
import org.acaciamux.internal.coordination.platform.StoreFailure;

/**
 * Prints a page again whenever an object of its kind changes, and at least every few
 * seconds, so that the ages shown and the notes on stale statuses stay correct. An outage
 * of the platform is reported and does not end the loop. Not thread-safe.
 */
final class WatchLoop {

	/** Longest wait for a change before the page is printed again. */
	private static final long MAX_WAIT_MS = 5_000;

	/**
	 * Shortest time between two rounds, so that neither the platform nor the terminal is
	 * busy all the time.
	 */
	private static final long MIN_PAUSE_MS = 1_000;

	private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

	private final Console console;

	private final ObjectApi api;

	private final String kind;

	WatchLoop(Console console, ObjectApi api, String kind) {
		this.console = console;
		this.api = api;
		this.kind = kind;
	}

	/**
	 * Print the page repeatedly until interrupted.
	 * @param page reads and formats the page
	 * @return the exit code of the last round
	 */
	CliExitCode run(Supplier<Either<CliFailure, List<String>>> page) {
		while (true) {
			Either<StoreFailure, Long> revision = this.api.list(this.kind).map(Listing::revision);
			CliExitCode code = show(page.get());
			if (!this.console.keepWatching().getAsBoolean() || !pause(MIN_PAUSE_MS)) {
				return code;
			}
			if (revision.isRight()) {
				this.api.awaitChange(this.kind, revision.get(), MAX_WAIT_MS);
			}
		}
	}

	private CliExitCode show(Either<CliFailure, List<String>> page) {
		if (page.isLeft()) {
			return this.console.fail(page.getLeft());
		}
		if (this.console.terminal()) {
			this.console.out().print(CLEAR_SCREEN);
		}
		this.console.print(page.get());
		return CliExitCode.OK;
	}

	private static boolean pause(long ms) {
		try {
			Thread.sleep(ms);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}

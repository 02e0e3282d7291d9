package org.acaciamux.internal.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.ObjectStore.Listing;
import org.acaciamux.internal.coordination.platform.StoreFailure;

/**
 * Two views of the fleet some time apart. One view cannot show whether a backlog grows or
 * whether a lagging revision is only on its way. Immutable and thread-safe.
 *
 * @param first the first view
 * @param last the last view, the same as the first if there was nothing to wait for
 */
record FleetSample(FleetView first, FleetView last) {

	/** Time within which an accepted configuration is in force everywhere. */
	static final long SETTLE_MS = 7_000;

	/**
	 * Read the status. Reads again for up to {@link #SETTLE_MS} while a backlog has no
	 * second value or the first revision seen is not in force everywhere.
	 * @param api the object API
	 * @param console the console with the clock
	 * @return the sample, or why it cannot be read
	 */
	static Either<StoreFailure, FleetSample> take(ObjectApi api, Console console) {
		Either<StoreFailure, Listing> listing = api.list(FleetView.KIND);
		if (listing.isLeft()) {
			return Either.left(listing.getLeft());
		}
		FleetSample sample = of(FleetView.of(listing.get().items()));
		long now = console.clock().time();
		long end = now + SETTLE_MS;
		while (sample.isOpen() && now < end) {
			api.awaitChange(FleetView.KIND, listing.get().revision(), end - now);
			listing = api.list(FleetView.KIND);
			if (listing.isLeft()) {
				return Either.left(listing.getLeft());
			}
			sample = new FleetSample(sample.first, FleetView.of(listing.get().items()));
			now = console.clock().time();
		}
		return Either.right(sample);
	}

	static FleetSample of(FleetView view) {
		return new FleetSample(view, view);
	}

	boolean lags() {
		return this.last.lowestRevision() < this.first.highestRevision();
	}

	private boolean isOpen() {
		return lags() || (!this.last.backlog().isEmpty() && !renewed());
	}

	/**
	 * Return whether every failure domain with a backlog has written a newer status.
	 * @return whether the change of the backlog is known
	 */
	boolean renewed() {
		return this.last.domains()
			.stream()
			.filter((domain) -> !domain.backlog().isEmpty())
			.allMatch((domain) -> elapsedMs(domain) > 0);
	}

	private long elapsedMs(FleetView.Domain domain) {
		return this.first.domain(domain.name())
			.map((earlier) -> domain.updatedAtMs() - earlier.updatedAtMs())
			.orElse(0L);
	}

	/**
	 * Return how much each entry of the backlog has changed.
	 * @return the change by {@link FleetView.Backlog#key()}, empty if it is not known
	 */
	Map<String, Long> backlogChange() {
		if (!renewed()) {
			return Map.of();
		}
		Map<String, FleetView.Backlog> before = this.first.backlog()
			.stream()
			.collect(Collectors.toMap(FleetView.Backlog::key, Function.identity()));
		List<FleetView.Backlog> after = this.last.backlog();
		return after.stream()
			.collect(Collectors.toMap(FleetView.Backlog::key, (entry) -> entry.count()
					- Optional.ofNullable(before.get(entry.key())).map(FleetView.Backlog::count).orElse(0L)));
	}

}

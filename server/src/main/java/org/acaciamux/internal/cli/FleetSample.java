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
 * Two views of the fleet some time apart. A single view cannot show whether a backlog
 * grows, or whether a process with an older revision is about to get the newer one.
 * Immutable and thread-safe.
 *
 * @param first the first view
 * @param last the last view, the same as the first if no second one was needed
 */
record FleetSample(FleetView first, FleetView last) {

	/** Time within which an accepted configuration must be in force everywhere. */
	static final long SETTLE_MS = 7_000;

	/**
	 * Read the status of all failure domains. Reads again for up to {@link #SETTLE_MS}
	 * while a failure domain with a backlog has not written a second status, or while the
	 * highest revision of the first view is not in force everywhere.
	 * @param api the object API
	 * @param console the console with the clock
	 * @return the sample, or why it cannot be read
	 */
	static Either<StoreFailure, FleetSample> read(ObjectApi api, Console console) {
		Either<StoreFailure, Listing> listing = api.list(FleetView.KIND);
		if (listing.isLeft()) {
			return Either.left(listing.getLeft());
		}
		FleetSample sample = of(FleetView.of(listing.get().items()));
		long now = console.clock().time();
		long end = now + SETTLE_MS;
		while (sample.needsAnotherRead() && now < end) {
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

	boolean hasLaggingRevision() {
		return this.last.lowestRevision() < this.first.highestRevision();
	}

	private boolean needsAnotherRead() {
		return hasLaggingRevision() || (!this.last.backlog().isEmpty() && !hasNewerBacklog());
	}

	/**
	 * Return whether every failure domain with a backlog has written a newer status.
	 * @return whether the change of the backlog can be computed
	 */
	boolean hasNewerBacklog() {
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
	 * Return by how many requests each entry of the backlog has grown or shrunk.
	 * @return the change by {@link FleetView.BacklogEntry#key()}, empty if it is not
	 * known
	 */
	Map<String, Long> backlogChange() {
		if (!hasNewerBacklog()) {
			return Map.of();
		}
		Map<String, FleetView.BacklogEntry> before = this.first.backlog()
			.stream()
			.collect(Collectors.toMap(FleetView.BacklogEntry::key, Function.identity()));
		List<FleetView.BacklogEntry> after = this.last.backlog();
		return after.stream()
			.collect(Collectors.toMap(FleetView.BacklogEntry::key, (entry) -> entry.count()
					- Optional.ofNullable(before.get(entry.key())).map(FleetView.BacklogEntry::count).orElse(0L)));
	}

}

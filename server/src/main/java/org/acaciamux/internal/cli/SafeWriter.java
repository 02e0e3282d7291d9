package org.acaciamux.internal.cli;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Conditional writes whose lost answers are resolved by reading the object again.
 * Invariants: success is reported only if the platform holds or held the written state; a
 * failure other than {@link Kind#NO_ANSWER} is reported only if this write has not taken
 * effect, or a newer version replaced it. Repeating a write after a lost answer is safe
 * because both attempts expect the same version and at most one of them can match it. The
 * exception is a creation: if another operator deletes the new record between the two
 * attempts, the second one creates it again. Thread-safe.
 */
final class SafeWriter {

	private static final int ATTEMPTS = 3;

	private static final String LOST = "no answer to the write, and reading the object again did not settle whether it"
			+ " took effect; it may still take effect";

	private static final String REPLACED = "the answer to the write was lost and another version is stored now: either"
			+ " the write came too late, or it took effect and was replaced";

	private final ObjectApi api;

	SafeWriter(ObjectApi api) {
		this.api = api;
	}

	Either<StoreFailure, StoredObject> put(String kind, String name, long ifVersion, JsonNode value) {
		return write(new Write() {
			@Override
			public Either<StoreFailure, StoredObject> attempt() {
				return SafeWriter.this.api.put(kind, name, ifVersion, value);
			}

			@Override
			public Optional<StoredObject> reached(Optional<StoredObject> current) {
				return current.filter((object) -> object.version() > ifVersion)
					.filter((object) -> Documents.same(object.value(), value));
			}
		}, kind, name, ifVersion);
	}

	Either<StoreFailure, StoredObject> delete(StoredObject object) {
		return write(new Write() {
			@Override
			public Either<StoreFailure, StoredObject> attempt() {
				return SafeWriter.this.api.delete(object.kind(), object.name(), object.version());
			}

			@Override
			public Optional<StoredObject> reached(Optional<StoredObject> current) {
				return current.isPresent() ? Optional.empty() : Optional.of(object);
			}
		}, object.kind(), object.name(), object.version());
	}

	private Either<StoreFailure, StoredObject> write(Write write, String kind, String name, long ifVersion) {
		Either<StoreFailure, StoredObject> result = write.attempt();
		if (result.isRight() || result.getLeft().kind() != Kind.NO_ANSWER) {
			return result;
		}
		for (int i = 1; i < ATTEMPTS; i++) {
			Either<StoreFailure, Optional<StoredObject>> current = current(kind, name);
			if (current.isLeft()) {
				return lost();
			}
			Optional<StoredObject> reached = write.reached(current.get());
			if (reached.isPresent()) {
				return Either.right(reached.get());
			}
			if (current.get().map(StoredObject::version).orElse(0L) != ifVersion) {
				return Either.left(new StoreFailure(Kind.CONFLICT, REPLACED, current.get()));
			}
			result = write.attempt();
			if (result.isRight()) {
				return result;
			}
		}
		return settle(write, kind, name, ifVersion);
	}

	private Either<StoreFailure, StoredObject> settle(Write write, String kind, String name, long ifVersion) {
		Either<StoreFailure, Optional<StoredObject>> current = current(kind, name);
		if (current.isLeft()) {
			return lost();
		}
		Optional<StoredObject> reached = write.reached(current.get());
		if (reached.isPresent()) {
			return Either.right(reached.get());
		}
		boolean untouched = current.get().map(StoredObject::version).orElse(0L) == ifVersion;
		return untouched ? lost() : Either.left(new StoreFailure(Kind.CONFLICT, REPLACED, current.get()));
	}

	private Either<StoreFailure, Optional<StoredObject>> current(String kind, String name) {
		Either<StoreFailure, StoredObject> read = this.api.get(kind, name);
		if (read.isLeft() && read.getLeft().kind() == Kind.NOT_FOUND) {
			return Either.right(Optional.empty());
		}
		return read.map(Optional::of);
	}

	private static Either<StoreFailure, StoredObject> lost() {
		return Either.left(new StoreFailure(Kind.NO_ANSWER, LOST, Optional.empty()));
	}

	/**
	 * One conditional write.
	 */
	private interface Write {

		Either<StoreFailure, StoredObject> attempt();

		/**
		 * Decide whether the write's effect is in place.
		 * @param current what is stored now
		 * @return the object to report, or empty if the effect is not in place
		 */
		Optional<StoredObject> reached(Optional<StoredObject> current);

	}

}

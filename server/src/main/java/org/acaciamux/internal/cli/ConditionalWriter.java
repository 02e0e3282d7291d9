package org.acaciamux.internal.cli;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Writer whose writes take effect only if the stored object has the expected version. If
 * the answer to a write is lost, the object is read again to find out whether the write
 * took effect. Invariants: success is reported only if the platform holds or held the
 * written state; a failure other than {@link Kind#NO_ANSWER} is reported only if this
 * write has not taken effect, or a newer version replaced it. Repeating a write after a
 * lost answer is safe because both attempts expect the same version and at most one of
 * them can match it. The exception is a creation: if another operator deletes the new
 * record between the two attempts, the second one creates it again. Thread-safe.
 */
final class ConditionalWriter {

	private static final int MAX_ATTEMPTS = 3;

	private static final String OUTCOME_UNKNOWN = "no answer to the write, and reading the object again did not settle"
			+ " whether it took effect; it may still take effect";

	private static final String REPLACED = "the answer to the write was lost and another version is stored now: either"
			+ " the write came too late, or it took effect and was replaced";

	private final ObjectApi api;

	ConditionalWriter(ObjectApi api) {
		this.api = api;
	}

	Either<StoreFailure, StoredObject> put(String kind, String name, long ifVersion, JsonNode value) {
		return write(new Write() {
			@Override
			public Either<StoreFailure, StoredObject> attempt() {
				return ConditionalWriter.this.api.put(kind, name, ifVersion, value);
			}

			@Override
			public Optional<StoredObject> appliedObject(Optional<StoredObject> current) {
				return current.filter((object) -> object.version() > ifVersion)
					.filter((object) -> Documents.equalByValue(object.value(), value));
			}
		}, kind, name, ifVersion);
	}

	Either<StoreFailure, StoredObject> delete(StoredObject object) {
		return write(new Write() {
			@Override
			public Either<StoreFailure, StoredObject> attempt() {
				return ConditionalWriter.this.api.delete(object.kind(), object.name(), object.version());
			}

			@Override
			public Optional<StoredObject> appliedObject(Optional<StoredObject> current) {
				return current.isPresent() ? Optional.empty() : Optional.of(object);
			}
		}, object.kind(), object.name(), object.version());
	}

	private Either<StoreFailure, StoredObject> write(Write write, String kind, String name, long ifVersion) {
		Either<StoreFailure, StoredObject> result = write.attempt();
		if (result.isRight() || result.getLeft().kind() != Kind.NO_ANSWER) {
			return result;
		}
		for (int i = 1; i < MAX_ATTEMPTS; i++) {
			Either<StoreFailure, Optional<StoredObject>> current = readCurrent(kind, name);
			if (current.isLeft()) {
				return outcomeUnknown();
			}
			Optional<StoredObject> applied = write.appliedObject(current.get());
			if (applied.isPresent()) {
				return Either.right(applied.get());
			}
			if (current.get().map(StoredObject::version).orElse(0L) != ifVersion) {
				return Either.left(new StoreFailure(Kind.CONFLICT, REPLACED, current.get()));
			}
			result = write.attempt();
			if (result.isRight()) {
				return result;
			}
		}
		return resolveAfterLastAttempt(write, kind, name, ifVersion);
	}

	private Either<StoreFailure, StoredObject> resolveAfterLastAttempt(Write write, String kind, String name,
			long ifVersion) {
		Either<StoreFailure, Optional<StoredObject>> current = readCurrent(kind, name);
		if (current.isLeft()) {
			return outcomeUnknown();
		}
		Optional<StoredObject> applied = write.appliedObject(current.get());
		if (applied.isPresent()) {
			return Either.right(applied.get());
		}
		boolean unchanged = current.get().map(StoredObject::version).orElse(0L) == ifVersion;
		return unchanged ? outcomeUnknown() : Either.left(new StoreFailure(Kind.CONFLICT, REPLACED, current.get()));
	}

	private Either<StoreFailure, Optional<StoredObject>> readCurrent(String kind, String name) {
		Either<StoreFailure, StoredObject> read = this.api.get(kind, name);
		if (read.isLeft() && read.getLeft().kind() == Kind.NOT_FOUND) {
			return Either.right(Optional.empty());
		}
		return read.map(Optional::of);
	}

	private static Either<StoreFailure, StoredObject> outcomeUnknown() {
		return Either.left(new StoreFailure(Kind.NO_ANSWER, OUTCOME_UNKNOWN, Optional.empty()));
	}

	/**
	 * One conditional write, which may be attempted several times.
	 */
	private interface Write {

		Either<StoreFailure, StoredObject> attempt();

		/**
		 * Return the written object if the stored state shows that the write took effect.
		 * @param current the object that is stored now, empty if there is none
		 * @return the object to report, or empty if the effect does not show
		 */
		Optional<StoredObject> appliedObject(Optional<StoredObject> current);

	}

}

package org.acaciamux.internal.coordination.platform;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;

/**
 * One conditional write that is repeated until its effect is known. A write without an
 * answer may still take effect after a read that does not show it, so an unchanged object
 * is written again with the same condition: either this write succeeds and the lost one
 * no longer can, or the lost one took effect and this one is refused. Invariant: the
 * result is passed on once; it is {@link Result.NotWritten} only if no attempt took or
 * can take effect. Guarded by the lock of its {@link GuardedStore}.
 */
public final class RetryingWrite {

	private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final GuardedStore store;

	private final NanoClock clock;

	private final Target target;

	private final JsonNode value;

	private final Predicate<JsonNode> containsWrite;

	private final Consumer<StoreFailure> onUncertain;

	private final Consumer<Result> onResult;

	private boolean uncertain;

	private boolean paused;

	private long retryAt;

	private long pauseNanos = FIRST_PAUSE_NANOS;

	/**
	 * Create a write; {@link #start()} sends it.
	 * @param store the store
	 * @param clock the monotonic clock
	 * @param target the object to write and its expected version
	 * @param value the value
	 * @param containsWrite tests whether the value of an object contains this write
	 * @param onUncertain receives the failure each time an answer was lost
	 * @param onResult receives the result
	 */
	public RetryingWrite(GuardedStore store, NanoClock clock, Target target, JsonNode value,
			Predicate<JsonNode> containsWrite, Consumer<StoreFailure> onUncertain, Consumer<Result> onResult) {
		this.onUncertain = onUncertain;
		this.store = store;
		this.clock = clock;
		this.target = target;
		this.value = value;
		this.containsWrite = containsWrite;
		this.onResult = onResult;
	}

	/**
	 * Send the write.
	 */
	public void start() {
		this.store.put(this.target.kind, this.target.name, this.target.ifVersion, this.value, this::onWriteResult);
	}

	/**
	 * Continue after a pause if the pause is over. Called periodically.
	 */
	public void tick() {
		if (this.paused && this.clock.nanoTime() - this.retryAt >= 0) {
			this.paused = false;
			this.store.get(this.target.kind, this.target.name, this::onReadResult);
		}
	}

	/**
	 * Return whether an earlier attempt may still take effect.
	 * @return whether an answer was lost
	 */
	public boolean uncertain() {
		return this.uncertain;
	}

	private void onWriteResult(Either<StoreFailure, StoredObject> result) {
		if (result.isRight()) {
			this.onResult.accept(new Result.Written(result.get()));
			return;
		}
		StoreFailure failure = result.getLeft();
		if (failure.kind() == Kind.CONFLICT) {
			onChanged(failure.current());
		}
		else if (failure.kind() == Kind.NO_ANSWER) {
			this.onUncertain.accept(failure);
			this.uncertain = true;
			this.store.get(this.target.kind, this.target.name, this::onReadResult);
		}
		else if (this.uncertain) {
			pause();
		}
		else {
			this.onResult.accept(new Result.NotWritten(failure));
		}
	}

	private void onReadResult(Either<StoreFailure, StoredObject> result) {
		boolean absent = result.isLeft() && result.getLeft().kind() == Kind.NOT_FOUND;
		if (result.isLeft() && !absent) {
			pause();
			return;
		}
		if (result.map(StoredObject::version).getOrElse(0L) == this.target.ifVersion) {
			start();
			return;
		}
		onChanged(result.toJavaOptional());
	}

	private void onChanged(Optional<StoredObject> current) {
		boolean present = current.filter((object) -> this.containsWrite.test(object.value())).isPresent();
		this.onResult.accept(present ? new Result.Written(current.get()) : new Result.Lost(current));
	}

	private void pause() {
		this.paused = true;
		this.retryAt = this.clock.nanoTime() + this.pauseNanos;
		this.pauseNanos = Math.min(MAX_PAUSE_NANOS, this.pauseNanos * 2);
	}

	/**
	 * Object to write and its expected version.
	 *
	 * @param kind the kind
	 * @param name the name
	 * @param ifVersion the expected version, 0 to create
	 */
	public record Target(String kind, String name, long ifVersion) {

		@Override
		public String toString() {
			return this.kind + "/" + this.name;
		}

	}

	/**
	 * Result of a write.
	 */
	public sealed interface Result {

		/**
		 * The write took effect.
		 *
		 * @param object the object, which may have been changed again
		 */
		record Written(StoredObject object) implements Result {
		}

		/**
		 * The object was changed by another writer. The write is not in the object and
		 * can no longer take effect.
		 *
		 * @param current the object, empty if it was deleted
		 */
		record Lost(Optional<StoredObject> current) implements Result {
		}

		/**
		 * The platform refused the write; it did not take effect.
		 *
		 * @param failure the reason
		 */
		record NotWritten(StoreFailure failure) implements Result {
		}

	}

}

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
 * One conditional write that is carried on until its effect is known. A write without an
 * answer may still take effect after a read that doesn't show it, so an unchanged object
 * is written again with the same condition: either that write succeeds and the lost one
 * can't, or the other way round. Invariant: the result is given once; it is
 * {@link Result.NotWritten} only if no attempt took or can take effect. Guarded by the
 * lock of its {@link GuardedStore}.
 */
public final class CertainWrite {

	private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final GuardedStore store;

	private final NanoClock clock;

	private final Target target;

	private final JsonNode value;

	private final Predicate<JsonNode> mine;

	private final Consumer<StoreFailure> onUncertain;

	private final Consumer<Result> then;

	private boolean uncertain;

	private boolean waiting;

	private long retryAt;

	private long pauseNanos = FIRST_PAUSE_NANOS;

	/**
	 * Create a write; {@link #start()} sends it.
	 * @param store the store
	 * @param clock the monotonic clock
	 * @param target what to write
	 * @param value the value
	 * @param mine tells from an object's value whether this write is part of it
	 * @param onUncertain is told each time an answer was lost
	 * @param then receives the result
	 */
	public CertainWrite(GuardedStore store, NanoClock clock, Target target, JsonNode value, Predicate<JsonNode> mine,
			Consumer<StoreFailure> onUncertain, Consumer<Result> then) {
		this.onUncertain = onUncertain;
		this.store = store;
		this.clock = clock;
		this.target = target;
		this.value = value;
		this.mine = mine;
		this.then = then;
	}

	/**
	 * Send the write.
	 */
	public void start() {
		this.store.put(this.target.kind, this.target.name, this.target.ifVersion, this.value, this::written);
	}

	/**
	 * Go on after a pause.
	 */
	public void tick() {
		if (this.waiting && this.clock.nanoTime() - this.retryAt >= 0) {
			this.waiting = false;
			this.store.get(this.target.kind, this.target.name, this::read);
		}
	}

	/**
	 * Return whether an earlier attempt may still take effect.
	 * @return whether an answer was lost
	 */
	public boolean uncertain() {
		return this.uncertain;
	}

	private void written(Either<StoreFailure, StoredObject> result) {
		if (result.isRight()) {
			this.then.accept(new Result.Written(result.get()));
			return;
		}
		StoreFailure failure = result.getLeft();
		if (failure.kind() == Kind.CONFLICT) {
			changed(failure.current());
		}
		else if (failure.kind() == Kind.NO_ANSWER) {
			this.onUncertain.accept(failure);
			this.uncertain = true;
			this.store.get(this.target.kind, this.target.name, this::read);
		}
		else if (this.uncertain) {
			pause();
		}
		else {
			this.then.accept(new Result.NotWritten(failure));
		}
	}

	private void read(Either<StoreFailure, StoredObject> result) {
		boolean absent = result.isLeft() && result.getLeft().kind() == Kind.NOT_FOUND;
		if (result.isLeft() && !absent) {
			pause();
			return;
		}
		if (result.map(StoredObject::version).getOrElse(0L) == this.target.ifVersion) {
			start();
			return;
		}
		changed(result.toJavaOptional());
	}

	private void changed(Optional<StoredObject> current) {
		boolean present = current.filter((object) -> this.mine.test(object.value())).isPresent();
		this.then.accept(present ? new Result.Written(current.get()) : new Result.Lost(current));
	}

	private void pause() {
		this.waiting = true;
		this.retryAt = this.clock.nanoTime() + this.pauseNanos;
		this.pauseNanos = Math.min(MAX_PAUSE_NANOS, this.pauseNanos * 2);
	}

	/**
	 * What to write.
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
		 * can't take effect any more.
		 *
		 * @param current the object, empty if it is gone
		 */
		record Lost(Optional<StoredObject> current) implements Result {
		}

		/**
		 * The platform refused the write; it did not take effect.
		 *
		 * @param failure why
		 */
		record NotWritten(StoreFailure failure) implements Result {
		}

	}

}

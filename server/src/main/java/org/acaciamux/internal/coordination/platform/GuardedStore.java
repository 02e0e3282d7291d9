package org.acaciamux.internal.coordination.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * The object store as state machines under one lock use it. Invariants: results are
 * handled under the lock; calls and callers' completions run after the lock is released.
 * All methods but {@link #guarded} need the lock. Thread-safe under that rule.
 */
public final class GuardedStore {

	private final ObjectStore store;

	private final RankedLock lock;

	private List<Runnable> afterwards = new ArrayList<>();

	/**
	 * Create an access.
	 * @param store the object store
	 * @param rank the rank of the lock
	 */
	public GuardedStore(ObjectStore store, LockRank rank) {
		this.store = store;
		this.lock = new RankedLock(rank);
	}

	/**
	 * Run an action under the lock, and then without it what was left for afterwards.
	 * @param <T> the type of the result
	 * @param action the action
	 * @return its result
	 */
	public <T> T guarded(Supplier<T> action) {
		List<Runnable> left = new ArrayList<>();
		T result = this.lock.get(() -> {
			T value = action.get();
			left.addAll(this.afterwards);
			this.afterwards = new ArrayList<>();
			return value;
		});
		left.forEach(Runnable::run);
		return result;
	}

	/**
	 * Run an action under the lock, and then without it what was left for afterwards.
	 * @param action the action
	 */
	public void guarded(Runnable action) {
		guarded(() -> {
			action.run();
			return null;
		});
	}

	/**
	 * Leave an action for the time after the lock is released.
	 * @param action the action
	 */
	public void afterwards(Runnable action) {
		this.afterwards.add(action);
	}

	/**
	 * Read an object.
	 * @param kind the kind
	 * @param name the name
	 * @param then handles the result under the lock
	 */
	public void get(String kind, String name, Consumer<Either<StoreFailure, StoredObject>> then) {
		call(() -> this.store.get(kind, name), then);
	}

	/**
	 * Write an object.
	 * @param kind the kind
	 * @param name the name
	 * @param ifVersion the expected version, 0 to create
	 * @param value the value
	 * @param then handles the result under the lock
	 */
	public void put(String kind, String name, long ifVersion, JsonNode value,
			Consumer<Either<StoreFailure, StoredObject>> then) {
		call(() -> this.store.put(kind, name, ifVersion, value), then);
	}

	/**
	 * Delete an object.
	 * @param kind the kind
	 * @param name the name
	 * @param ifVersion the expected version
	 * @param then handles the result under the lock
	 */
	public void delete(String kind, String name, long ifVersion, Consumer<Either<StoreFailure, StoredObject>> then) {
		call(() -> this.store.delete(kind, name, ifVersion), then);
	}

	private <T> void call(Supplier<CompletionStage<T>> call, Consumer<T> then) {
		afterwards(() -> call.get().thenAccept((result) -> guarded(() -> then.accept(result))));
	}

}

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
 * Access to the object store for state machines that share one lock. Invariants: results
 * are handled under the lock; calls to the store and completions for callers run after
 * the lock is released. All methods except {@link #guarded} must be called under the
 * lock. Thread-safe under that rule.
 */
public final class GuardedStore {

	private final ObjectStore store;

	private final RankedLock lock;

	private List<Runnable> afterwards = new ArrayList<>();

	/**
	 * Create guarded access to a store, with a lock of its own.
	 * @param store the object store
	 * @param rank the rank of the lock
	 */
	public GuardedStore(ObjectStore store, LockRank rank) {
		this.store = store;
		this.lock = new RankedLock(rank);
	}

	/**
	 * Run an action under the lock, and after its release the actions deferred with
	 * {@link #afterwards}.
	 * @param <T> the type of the result
	 * @param action the action
	 * @return its result
	 */
	public <T> T guarded(Supplier<T> action) {
		List<Runnable> deferred = new ArrayList<>();
		T result = this.lock.get(() -> {
			T value = action.get();
			deferred.addAll(this.afterwards);
			this.afterwards = new ArrayList<>();
			return value;
		});
		deferred.forEach(Runnable::run);
		return result;
	}

	/**
	 * Run an action under the lock, and after its release the actions deferred with
	 * {@link #afterwards}.
	 * @param action the action
	 */
	public void guarded(Runnable action) {
		guarded(() -> {
			action.run();
			return null;
		});
	}

	/**
	 * Defer an action until the lock is released.
	 * @param action the action
	 */
	public void afterwards(Runnable action) {
		this.afterwards.add(action);
	}

	/**
	 * Read an object.
	 * @param kind the kind
	 * @param name the name
	 * @param handler handles the result under the lock
	 */
	public void get(String kind, String name, Consumer<Either<StoreFailure, StoredObject>> handler) {
		call(() -> this.store.get(kind, name), handler);
	}

	/**
	 * Write an object.
	 * @param kind the kind
	 * @param name the name
	 * @param ifVersion the expected version, 0 to create
	 * @param value the value
	 * @param handler handles the result under the lock
	 */
	public void put(String kind, String name, long ifVersion, JsonNode value,
			Consumer<Either<StoreFailure, StoredObject>> handler) {
		call(() -> this.store.put(kind, name, ifVersion, value), handler);
	}

	/**
	 * Delete an object.
	 * @param kind the kind
	 * @param name the name
	 * @param ifVersion the expected version
	 * @param handler handles the result under the lock
	 */
	public void delete(String kind, String name, long ifVersion, Consumer<Either<StoreFailure, StoredObject>> handler) {
		call(() -> this.store.delete(kind, name, ifVersion), handler);
	}

	private <T> void call(Supplier<CompletionStage<T>> call, Consumer<T> handler) {
		afterwards(() -> call.get().thenAccept((result) -> guarded(() -> handler.accept(result))));
	}

}

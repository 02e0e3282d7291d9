package org.acaciamux.internal.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.ObjectStore;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;

/**
 * The object store as state machines under one lock use it. Invariants: results are
 * handled under the lock; calls and callers' completions run after the lock is released.
 * All methods but {@link #guarded} need the lock. Thread-safe under that rule.
 */
final class GuardedStore {

	private final ObjectStore store;

	private final RankedLock lock = new RankedLock(LockRank.CLAIM_TABLE);

	private List<Runnable> afterwards = new ArrayList<>();

	GuardedStore(ObjectStore store) {
		this.store = store;
	}

	// Run an action under the lock, and what it left for afterwards without it.
	<T> T guarded(Supplier<T> action) {
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

	void guarded(Runnable action) {
		guarded(() -> {
			action.run();
			return null;
		});
	}

	void afterwards(Runnable action) {
		this.afterwards.add(action);
	}

	void get(String kind, String name, Consumer<Either<StoreFailure, StoredObject>> then) {
		call(() -> this.store.get(kind, name), then);
	}

	void put(String kind, String name, long ifVersion, JsonNode value,
			Consumer<Either<StoreFailure, StoredObject>> then) {
		call(() -> this.store.put(kind, name, ifVersion, value), then);
	}

	void delete(String kind, String name, long ifVersion, Consumer<Either<StoreFailure, StoredObject>> then) {
		call(() -> this.store.delete(kind, name, ifVersion), then);
	}

	private <T> void call(Supplier<CompletionStage<T>> call, Consumer<T> then) {
		afterwards(() -> call.get().thenAccept((result) -> guarded(() -> then.accept(result))));
	}

}

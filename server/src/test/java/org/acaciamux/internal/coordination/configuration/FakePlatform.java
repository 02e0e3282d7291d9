package org.acaciamux.internal.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.ObjectStore;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.coordination.platform.VmDirectory;
import org.acaciamux.internal.state.record.RecordKey;

/**
 * In-memory object API and VM list of the platform, with outages, lost answers and
 * forgotten history.
 */
final class FakePlatform implements ObjectStore, VmDirectory {

	private static final long NO_ANSWER_AFTER_MS = 1_000;

	final List<Change> history = new ArrayList<>();

	final List<Long> callsAtMs = new ArrayList<>();

	final Map<RecordKey, StoredObject> objects = new HashMap<>();

	VmList vms = new VmList(0, List.of());

	boolean down;

	boolean vmsDown;

	double lostAnswers;

	final Set<String> blocked = new HashSet<>();

	private final VirtualTime time;

	private final Random random;

	private final List<Runnable> waiting = new ArrayList<>();

	/** Whether the next watch gets a change that cannot be applied. */
	boolean breakNextWatch;

	private long revision;

	private long forgottenThrough;

	FakePlatform(VirtualTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	void forgetHistory() {
		this.forgottenThrough = this.revision;
	}

	@Override
	public CompletionStage<Either<StoreFailure, StoredObject>> get(String kind, String name) {
		return call(() -> Optional.ofNullable(this.objects.get(new RecordKey(kind, name)))
			.<Either<StoreFailure, StoredObject>>map(Either::right)
			.orElseGet(() -> failure(Kind.NOT_FOUND)));
	}

	@Override
	public CompletionStage<Either<StoreFailure, Listing>> list(String kind) {
		return call(() -> Either.right(new Listing(this.revision,
				this.objects.values().stream().filter((object) -> object.kind().equals(kind)).toList())));
	}

	@Override
	public CompletionStage<Either<StoreFailure, StoredObject>> put(String kind, String name, long ifVersion,
			JsonNode value) {
		return call(() -> write(kind, name, ifVersion, Optional.of(value)));
	}

	@Override
	public CompletionStage<Either<StoreFailure, StoredObject>> delete(String kind, String name, long ifVersion) {
		return call(() -> write(kind, name, ifVersion, Optional.empty()));
	}

	Either<StoreFailure, StoredObject> write(String kind, String name, long ifVersion, Optional<JsonNode> value) {
		RecordKey key = new RecordKey(kind, name);
		StoredObject old = this.objects.get(key);
		if (((old != null) ? old.version() : 0) != ifVersion) {
			return Either.left(new StoreFailure(Kind.CONFLICT, "conflict", Optional.ofNullable(old)));
		}
		this.revision++;
		StoredObject written = new StoredObject(kind, name, this.revision, value.orElseGet(() -> old.value()));
		this.history.add(new Change(value.isEmpty(), written));
		value.ifPresentOrElse((present) -> this.objects.put(key, written), () -> this.objects.remove(key));
		List<Runnable> waiters = List.copyOf(this.waiting);
		this.waiting.clear();
		waiters.forEach(Runnable::run);
		return Either.right(written);
	}

	@Override
	public CompletionStage<Either<StoreFailure, Changes>> watch(Set<String> kinds, long afterRevision, long timeoutMs) {
		this.callsAtMs.add(this.time.nowMs());
		CompletableFuture<Either<StoreFailure, Changes>> result = new CompletableFuture<>();
		long end = this.time.nowMs() + timeoutMs;
		this.time.after(delay(), () -> awaitChanges(kinds, afterRevision, end, result));
		this.time.after(timeoutMs + 50, () -> awaitChanges(kinds, afterRevision, 0, result));
		return result;
	}

	private static List<Change> unusable() {
		return List.of(new Change(false, new StoredObject("BackendPool", "none", 1, null)));
	}

	private void awaitChanges(Set<String> kinds, long after, long end,
			CompletableFuture<Either<StoreFailure, Changes>> result) {
		if (result.isDone()) {
			return;
		}
		List<Change> changes = this.history.stream()
			.filter((change) -> change.object().version() > after && kinds.contains(change.object().kind()))
			.toList();
		if (this.down) {
			result.complete(failure(Kind.UNAVAILABLE));
		}
		else if (after < this.forgottenThrough) {
			result.complete(failure(Kind.COMPACTED));
		}
		else if (!changes.isEmpty() || this.time.nowMs() >= end) {
			Changes answer = new Changes(this.revision, this.breakNextWatch ? unusable() : changes);
			this.breakNextWatch = false;
			this.time.after(delay(), () -> result.complete(Either.right(answer)));
		}
		else {
			this.waiting.add(() -> awaitChanges(kinds, after, end, result));
		}
	}

	@Override
	public CompletionStage<Either<StoreFailure, VmList>> list() {
		if (this.vmsDown) {
			this.callsAtMs.add(this.time.nowMs());
			return CompletableFuture.completedFuture(failure(Kind.UNAVAILABLE));
		}
		boolean wasDown = this.down;
		this.down = false;
		CompletionStage<Either<StoreFailure, VmList>> result = call(() -> Either.right(this.vms));
		this.down = wasDown;
		return result;
	}

	private <T> CompletionStage<Either<StoreFailure, T>> call(Supplier<Either<StoreFailure, T>> effect) {
		this.callsAtMs.add(this.time.nowMs());
		CompletableFuture<Either<StoreFailure, T>> result = new CompletableFuture<>();
		boolean noAnswer = this.random.nextDouble() < this.lostAnswers;
		if (this.down) {
			Kind kind = this.random.nextBoolean() ? Kind.UNAVAILABLE : Kind.NO_ANSWER;
			this.time.after(noAnswer ? NO_ANSWER_AFTER_MS : delay(), () -> result.complete(failure(kind)));
			return result;
		}
		this.time.after(delay(), () -> {
			Either<StoreFailure, T> answer = effect.get();
			this.time.after(noAnswer ? NO_ANSWER_AFTER_MS : delay(),
					() -> result.complete(noAnswer ? failure(Kind.NO_ANSWER) : answer));
		});
		return result;
	}

	/**
	 * Return the access of one process, which {@link #blocked} can disable.
	 */
	Access access(String id) {
		return new Access(id);
	}

	private long delay() {
		return 1 + this.random.nextInt(6);
	}

	private static <T> Either<StoreFailure, T> failure(Kind kind) {
		return Either.left(new StoreFailure(kind, kind.name(), Optional.empty()));
	}

	/**
	 * Access of one process to the platform.
	 */
	final class Access implements ObjectStore, VmDirectory {

		private final String id;

		private Access(String id) {
			this.id = id;
		}

		private <T> CompletionStage<Either<StoreFailure, T>> unlessBlocked(
				Supplier<CompletionStage<Either<StoreFailure, T>>> call) {
			if (FakePlatform.this.blocked.contains(this.id)) {
				return CompletableFuture.completedFuture(failure(Kind.NO_ANSWER));
			}
			return call.get();
		}

		@Override
		public CompletionStage<Either<StoreFailure, StoredObject>> get(String kind, String name) {
			return unlessBlocked(() -> FakePlatform.this.get(kind, name));
		}

		@Override
		public CompletionStage<Either<StoreFailure, Listing>> list(String kind) {
			return unlessBlocked(() -> FakePlatform.this.list(kind));
		}

		@Override
		public CompletionStage<Either<StoreFailure, StoredObject>> put(String kind, String name, long ifVersion,
				JsonNode value) {
			return unlessBlocked(() -> FakePlatform.this.put(kind, name, ifVersion, value));
		}

		@Override
		public CompletionStage<Either<StoreFailure, StoredObject>> delete(String kind, String name, long ifVersion) {
			return unlessBlocked(() -> FakePlatform.this.delete(kind, name, ifVersion));
		}

		@Override
		public CompletionStage<Either<StoreFailure, Changes>> watch(Set<String> kinds, long afterRevision,
				long timeoutMs) {
			return unlessBlocked(() -> FakePlatform.this.watch(kinds, afterRevision, timeoutMs));
		}

		@Override
		public CompletionStage<Either<StoreFailure, VmList>> list() {
			return unlessBlocked(FakePlatform.this::list);
		}

	}

}

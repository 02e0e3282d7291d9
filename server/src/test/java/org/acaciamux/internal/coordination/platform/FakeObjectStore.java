package org.acaciamux.internal.coordination.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;

/**
 * In-memory object store with faults that a test controls. Calls take effect and are
 * answered at once, except those that {@link #holdIf} selects: they wait in
 * {@link #held()} until the test applies, answers or fails them, in any order. Not
 * thread-safe while calls are held.
 */
public final class FakeObjectStore implements ObjectStore {

	private static final Either<StoreFailure, ?> NO_ANSWER = fail(Kind.NO_ANSWER, "no answer");

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final List<Change> history = new ArrayList<>();

	private final List<Call> held = new ArrayList<>();

	private final List<Watch> watches = new ArrayList<>();

	private Predicate<Call> hold = (call) -> false;

	private long revision;

	private long compactedTo;

	private boolean outage;

	private int answersToLose;

	private int writes;

	/**
	 * Refuse all calls, or stop doing so.
	 */
	public void outage(boolean on) {
		this.outage = on;
	}

	/**
	 * Let the given number of next calls take effect without an answer.
	 */
	public void loseAnswers(int count) {
		this.answersToLose = count;
	}

	/**
	 * Select the calls that wait for the test; replaces the previous selection.
	 */
	public void holdIf(Predicate<Call> selection) {
		this.hold = selection;
	}

	/**
	 * Return the calls that wait, oldest first.
	 */
	public List<Call> held() {
		return List.copyOf(this.held);
	}

	/**
	 * Return the changes so far in the order of their versions.
	 */
	public List<Change> history() {
		return List.copyOf(this.history);
	}

	/**
	 * Return the number of requested writes, whatever their result.
	 */
	public int writes() {
		return this.writes;
	}

	public Optional<StoredObject> peek(String kind, String name) {
		return Optional.ofNullable(this.objects.get(kind + "/" + name));
	}

	/**
	 * Answer watches that start before a revision with {@link Kind#COMPACTED}.
	 */
	public void compact(long toRevision) {
		this.compactedTo = toRevision;
	}

	/**
	 * Answer all waiting watches without changes.
	 */
	public void expireWatches() {
		List<Watch> waiting = List.copyOf(this.watches);
		this.watches.clear();
		waiting.forEach((watch) -> watch.result.complete(Either.right(new Changes(this.revision, List.of()))));
	}

	/**
	 * Return this store as seen by one client, whose calls carry its name for use in
	 * {@link #holdIf}.
	 */
	public ObjectStore client(String name) {
		return new Client(name);
	}

	@Override
	public synchronized CompletionStage<Either<StoreFailure, StoredObject>> get(String kind, String name) {
		return client("").get(kind, name);
	}

	@Override
	public synchronized CompletionStage<Either<StoreFailure, Listing>> list(String kind) {
		return client("").list(kind);
	}

	@Override
	public synchronized CompletionStage<Either<StoreFailure, StoredObject>> put(String kind, String name,
			long ifVersion, JsonNode value) {
		return client("").put(kind, name, ifVersion, value);
	}

	@Override
	public synchronized CompletionStage<Either<StoreFailure, StoredObject>> delete(String kind, String name,
			long ifVersion) {
		return client("").delete(kind, name, ifVersion);
	}

	@Override
	public synchronized CompletionStage<Either<StoreFailure, Changes>> watch(Set<String> kinds, long after,
			long timeoutMs) {
		if (this.outage) {
			return CompletableFuture.completedFuture(fail(Kind.UNAVAILABLE, "outage"));
		}
		if (after < this.compactedTo) {
			return CompletableFuture.completedFuture(fail(Kind.COMPACTED, "revision " + after + " is too old"));
		}
		Watch watch = new Watch(kinds, after, new CompletableFuture<>());
		this.watches.add(watch);
		answerWatches();
		return watch.result;
	}

	private void answerWatches() {
		for (Watch watch : List.copyOf(this.watches)) {
			List<Change> newChanges = this.history.stream()
				.filter((change) -> change.object().version() > watch.after)
				.filter((change) -> watch.kinds.contains(change.object().kind()))
				.toList();
			if (!newChanges.isEmpty() && this.watches.remove(watch)) {
				watch.result.complete(Either.right(new Changes(this.revision, newChanges)));
			}
		}
	}

	private Either<StoreFailure, StoredObject> read(String kind, String name) {
		return peek(kind, name).<Either<StoreFailure, StoredObject>>map(Either::right)
			.orElseGet(() -> fail(Kind.NOT_FOUND, kind + "/" + name));
	}

	private Either<StoreFailure, StoredObject> write(String kind, String name, long ifVersion,
			Optional<JsonNode> value) {
		Optional<StoredObject> current = peek(kind, name);
		if (value.isEmpty() && current.isEmpty()) {
			return fail(Kind.NOT_FOUND, kind + "/" + name);
		}
		if (current.map(StoredObject::version).orElse(0L) != ifVersion) {
			return Either.left(new StoreFailure(Kind.CONFLICT, kind + "/" + name, current));
		}
		this.revision++;
		JsonNode node = value.map(JsonNode::<JsonNode>deepCopy).orElseGet(() -> current.orElseThrow().value());
		StoredObject written = new StoredObject(kind, name, this.revision, node);
		if (value.isPresent()) {
			this.objects.put(kind + "/" + name, written);
		}
		else {
			this.objects.remove(kind + "/" + name);
		}
		this.history.add(new Change(value.isEmpty(), written));
		answerWatches();
		return Either.right(written);
	}

	private <T> CompletionStage<Either<StoreFailure, T>> submit(Call call, Supplier<Either<StoreFailure, T>> effect) {
		CompletableFuture<Either<StoreFailure, T>> result = new CompletableFuture<>();
		call.bind(effect, result);
		this.writes += call.write ? 1 : 0;
		if (this.hold.test(call)) {
			this.held.add(call);
		}
		else if (this.outage) {
			call.refuse();
		}
		else {
			call.apply();
			if (this.answersToLose > 0) {
				this.answersToLose--;
				call.loseAnswer();
			}
			else {
				call.answer();
			}
		}
		return result;
	}

	private static <T> Either<StoreFailure, T> fail(Kind kind, String detail) {
		return Either.left(new StoreFailure(kind, detail, Optional.empty()));
	}

	private record Watch(Set<String> kinds, long after, CompletableFuture<Either<StoreFailure, Changes>> result) {
	}

	/**
	 * One call. Effect and answer are separate steps: an answer may be lost, and a call
	 * may take effect after its client stopped waiting for it.
	 */
	public final class Call {

		private final String client;

		private final String object;

		private final boolean write;

		private Runnable effect = () -> {
		};

		private Runnable answer = () -> {
		};

		private Runnable refusal = () -> {
		};

		private Runnable loss = () -> {
		};

		private boolean applied;

		private boolean answered;

		private Call(String client, String object, boolean write) {
			this.client = client;
			this.object = object;
			this.write = write;
		}

		public String client() {
			return this.client;
		}

		/**
		 * Return kind and name of the object, separated by a slash.
		 */
		public String object() {
			return this.object;
		}

		public boolean isWrite() {
			return this.write;
		}

		public boolean isAnswered() {
			return this.answered;
		}

		/**
		 * Let the call take effect without answering it.
		 */
		public void apply() {
			if (!this.applied) {
				this.applied = true;
				this.effect.run();
			}
			removeWhenDone();
		}

		/**
		 * Answer the call, and apply it first if it has not taken effect.
		 */
		public void answer() {
			apply();
			end(this.answer);
		}

		/**
		 * Refuse the call; it has no effect.
		 */
		public void refuse() {
			this.applied = true;
			end(this.refusal);
		}

		/**
		 * Report to the client that no answer arrived. A call that has not taken effect
		 * stays held: it may still be applied later, like a delayed packet, or be
		 * dropped.
		 */
		public void loseAnswer() {
			end(this.loss);
		}

		/**
		 * Drop a call without effect after its client stopped waiting for it.
		 */
		public void drop() {
			this.applied = true;
			end(this.loss);
		}

		private void end(Runnable last) {
			boolean first = !this.answered;
			this.answered = true;
			removeWhenDone();
			if (first) {
				last.run();
			}
		}

		private void removeWhenDone() {
			if (this.applied && this.answered) {
				FakeObjectStore.this.held.remove(this);
			}
		}

		@SuppressWarnings("unchecked")
		private <T> void bind(Supplier<Either<StoreFailure, T>> work,
				CompletableFuture<Either<StoreFailure, T>> result) {
			CompletableFuture<Either<StoreFailure, T>> outcome = new CompletableFuture<>();
			this.effect = () -> outcome.complete(work.get());
			this.answer = () -> result.complete(outcome.join());
			this.refusal = () -> result.complete(fail(Kind.UNAVAILABLE, "refused"));
			this.loss = () -> result.complete((Either<StoreFailure, T>) NO_ANSWER);
		}

		@Override
		public String toString() {
			return this.client + (this.write ? " writes " : " reads ") + this.object;
		}

	}

	private final class Client implements ObjectStore {

		private final String name;

		Client(String name) {
			this.name = name;
		}

		@Override
		public CompletionStage<Either<StoreFailure, StoredObject>> get(String kind, String object) {
			return submit(new Call(this.name, kind + "/" + object, false), () -> read(kind, object));
		}

		@Override
		public CompletionStage<Either<StoreFailure, Listing>> list(String kind) {
			return submit(new Call(this.name, kind + "/", false), () -> {
				List<StoredObject> items = FakeObjectStore.this.objects.values()
					.stream()
					.filter((object) -> object.kind().equals(kind))
					.toList();
				return Either.right(new Listing(FakeObjectStore.this.revision, items));
			});
		}

		@Override
		public CompletionStage<Either<StoreFailure, StoredObject>> put(String kind, String object, long ifVersion,
				JsonNode value) {
			JsonNode copy = value.deepCopy();
			return submit(new Call(this.name, kind + "/" + object, true),
					() -> write(kind, object, ifVersion, Optional.of(copy)));
		}

		@Override
		public CompletionStage<Either<StoreFailure, StoredObject>> delete(String kind, String object, long ifVersion) {
			return submit(new Call(this.name, kind + "/" + object, true),
					() -> write(kind, object, ifVersion, Optional.empty()));
		}

		@Override
		public CompletionStage<Either<StoreFailure, Changes>> watch(Set<String> kinds, long after, long timeoutMs) {
			return FakeObjectStore.this.watch(kinds, after, timeoutMs);
		}

	}

}

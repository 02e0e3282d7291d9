package org.acaciamux.internal.coordination.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.transport.http.PlatformHttpClient;

/**
 * The platform's object API over HTTP. Invariant: a write that may have taken effect is
 * never reported as {@link Kind#UNAVAILABLE} or {@link Kind#CONFLICT}. Calls are not
 * repeated here, because only the caller knows whether a repetition is safe. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {

	private static final int MAX_VALUE_BYTES = 1_000_000;

	/**
	 * Time that the response to a watch may take in addition to the time the watch waits.
	 */
	private static final long WATCH_MARGIN_MS = 2_000;

	private static final byte[] NO_BODY = {};

	private final PlatformHttpClient client;

	private final CallBudget budget;

	private final long timeoutMs;

	/**
	 * Create a client of the object API.
	 * @param client the HTTP client
	 * @param budget the budget of this process for platform calls
	 * @param timeoutMs the timeout of a call in milliseconds, 1 to 60,000
	 */
	public HttpObjectStore(PlatformHttpClient client, CallBudget budget, long timeoutMs) {
		this.client = client;
		this.budget = budget;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public CompletionStage<Either<StoreFailure, StoredObject>> get(String kind, String name) {
		return call(HttpMethod.GET, path(kind, name), NO_BODY, PlatformReplies::object);
	}

	@Override
	public CompletionStage<Either<StoreFailure, Listing>> list(String kind) {
		return call(HttpMethod.GET, "/v1/objects/" + PlatformJson.pathSegment(kind), NO_BODY, (body) -> Either
			.right(new Listing(body.path("revision").asLong(), PlatformJson.objects(body.path("items")))));
	}

	@Override
	public CompletionStage<Either<StoreFailure, StoredObject>> put(String kind, String name, long ifVersion,
			JsonNode value) {
		byte[] body = PlatformJson.bytes(value);
		if (body.length > MAX_VALUE_BYTES) {
			return CompletableFuture.completedFuture(PlatformReplies.failure(Kind.INVALID, "The value of " + kind + "/"
					+ name + " has " + body.length + " bytes; the platform takes " + MAX_VALUE_BYTES));
		}
		return call(HttpMethod.PUT, path(kind, name) + "?ifVersion=" + ifVersion, body, PlatformReplies::object)
			.thenApply((result) -> result.mapLeft(HttpObjectStore::notFoundToConflict));
	}

	@Override
	public CompletionStage<Either<StoreFailure, StoredObject>> delete(String kind, String name, long ifVersion) {
		return call(HttpMethod.DELETE, path(kind, name) + "?ifVersion=" + ifVersion, NO_BODY, PlatformReplies::object);
	}

	@Override
	public CompletionStage<Either<StoreFailure, Changes>> watch(Set<String> kinds, long afterRevision, long waitMs) {
		if (!this.budget.tryWatch()) {
			return overBudget();
		}
		String list = kinds.stream().sorted().map(PlatformJson::pathSegment).collect(Collectors.joining(","));
		String uri = "/v1/watch?kinds=" + list + "&after=" + afterRevision + "&timeoutMs=" + waitMs;
		return this.client.call(HttpMethod.GET, uri, NO_BODY, waitMs + WATCH_MARGIN_MS).thenApply((reply) -> {
			this.budget.watchEnded();
			return PlatformReplies.read(reply, (body) -> Either.right(changes(body)));
		});
	}

	private <T> CompletionStage<Either<StoreFailure, T>> call(HttpMethod method, String uri, byte[] body,
			Function<JsonNode, Either<StoreFailure, T>> reader) {
		if (!this.budget.tryCall()) {
			return overBudget();
		}
		return this.client.call(method, uri, body, this.timeoutMs)
			.thenApply((reply) -> PlatformReplies.read(reply, reader));
	}

	private static <T> CompletionStage<Either<StoreFailure, T>> overBudget() {
		return CompletableFuture.completedFuture(PlatformReplies
			.unavailable("The call was not sent because this process has used up its budget of platform calls"));
	}

	private static StoreFailure notFoundToConflict(StoreFailure failure) {
		if (failure.kind() != Kind.NOT_FOUND) {
			return failure;
		}
		return new StoreFailure(Kind.CONFLICT, failure.detail(), Optional.empty());
	}

	private static Changes changes(JsonNode body) {
		List<Change> changes = new ArrayList<>();
		for (JsonNode event : body.path("events")) {
			boolean deleted = "DELETE".equals(event.path("type").asText());
			PlatformJson.object(event.path("object")).ifPresent((object) -> changes.add(new Change(deleted, object)));
		}
		return new Changes(body.path("revision").asLong(), changes);
	}

	private static String path(String kind, String name) {
		return "/v1/objects/" + PlatformJson.pathSegment(kind) + "/" + PlatformJson.pathSegment(name);
	}

}

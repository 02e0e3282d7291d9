package org.acaciamux.internal.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.ObjectStore.Listing;
import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Blocking HTTP client of the platform's object API and of admin ports. Invariant: a
 * write whose effect is not known fails with {@link Kind#NO_ANSWER}, never with another
 * kind. Thread-safe.
 */
final class ObjectApi {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

	private static final String OBJECTS_PATH = "/v1/objects/";

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	private final String base;

	ObjectApi(String hostAndPort) {
		this.base = "http://" + hostAndPort;
	}

	Either<StoreFailure, StoredObject> get(String kind, String name) {
		return call(request(OBJECTS_PATH + encode(kind) + "/" + encode(name)).GET(), Kind.UNAVAILABLE,
				ObjectApi::parseObject);
	}

	Either<StoreFailure, Listing> list(String kind) {
		return call(request(OBJECTS_PATH + encode(kind)).GET(), Kind.UNAVAILABLE, ObjectApi::parseListing);
	}

	Either<StoreFailure, StoredObject> put(String kind, String name, long ifVersion, JsonNode value) {
		HttpRequest.Builder request = request(
				OBJECTS_PATH + encode(kind) + "/" + encode(name) + "?ifVersion=" + ifVersion)
			.header("Content-Type", "application/json")
			.PUT(BodyPublishers.ofString(value.toString()));
		return call(request, Kind.NO_ANSWER, ObjectApi::parseObject);
	}

	Either<StoreFailure, StoredObject> delete(String kind, String name, long ifVersion) {
		HttpRequest.Builder request = request(
				OBJECTS_PATH + encode(kind) + "/" + encode(name) + "?ifVersion=" + ifVersion)
			.DELETE();
		return call(request, Kind.NO_ANSWER, (answer) -> answer.has("kind") ? parseObject(answer)
				: Optional.of(new StoredObject(kind, name, ifVersion, answer)));
	}

	/**
	 * Wait until an object of a kind changes.
	 * @param kind the kind
	 * @param afterRevision the revision that is known; only later changes end the wait
	 * @param timeoutMs how long to wait in milliseconds
	 * @return the new revision, or the known one if nothing changed in time
	 */
	Either<StoreFailure, Long> awaitChange(String kind, long afterRevision, long timeoutMs) {
		HttpRequest.Builder request = request(
				"/v1/watch?kinds=" + encode(kind) + "&after=" + afterRevision + "&timeoutMs=" + timeoutMs)
			.timeout(ANSWER_TIMEOUT.plusMillis(timeoutMs))
			.GET();
		return call(request, Kind.UNAVAILABLE, (answer) -> Optional.of(answer.path("revision").asLong(afterRevision)));
	}

	Either<StoreFailure, JsonNode> getPage(String path) {
		return call(request(path).GET(), Kind.UNAVAILABLE, Optional::of);
	}

	private HttpRequest.Builder request(String pathAndQuery) {
		return HttpRequest.newBuilder(URI.create(this.base + pathAndQuery)).timeout(ANSWER_TIMEOUT);
	}

	private <T> Either<StoreFailure, T> call(HttpRequest.Builder request, Kind kindIfUnanswered,
			Function<JsonNode, Optional<T>> decoder) {
		try {
			HttpResponse<String> response = this.client.send(request.build(),
					BodyHandlers.ofString(StandardCharsets.UTF_8));
			return decode(response, kindIfUnanswered, decoder);
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			return failure(Kind.UNAVAILABLE, "cannot connect to " + this.base);
		}
		catch (IOException ex) {
			return failure(kindIfUnanswered, "the connection to " + this.base + " broke off: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return failure(kindIfUnanswered, "interrupted while waiting for " + this.base);
		}
	}

	private <T> Either<StoreFailure, T> decode(HttpResponse<String> response, Kind kindIfUnanswered,
			Function<JsonNode, Optional<T>> decoder) {
		int status = response.statusCode();
		return switch (status) {
			case 200, 201 -> parse(response.body()).flatMap(decoder)
				.<Either<StoreFailure, T>>map(Either::right)
				.orElseGet(() -> failure(kindIfUnanswered, this.base + " sent an answer that is not understood"));
			case 404 -> failure(Kind.NOT_FOUND, "not found");
			case 409 -> Either.left(new StoreFailure(Kind.CONFLICT, "the stored version is another one",
					parse(response.body()).flatMap(ObjectApi::parseObject)));
			case 410 -> failure(Kind.COMPACTED, "the revision is too old");
			case 429, 503 -> failure(Kind.UNAVAILABLE, this.base + " refused the call with status " + status);
			default -> failure((status >= 500) ? kindIfUnanswered : Kind.INVALID,
					this.base + " answered with status " + status + " " + shorten(response.body()));
		};
	}

	private static <T> Either<StoreFailure, T> failure(Kind kind, String detail) {
		return Either.left(new StoreFailure(kind, detail, Optional.empty()));
	}

	private static Optional<JsonNode> parse(String body) {
		try {
			return Optional.ofNullable(Documents.JSON.readTree(body));
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	private static Optional<StoredObject> parseObject(JsonNode node) {
		if (!node.path("version").isIntegralNumber() || !node.has("value")) {
			return Optional.empty();
		}
		return Optional.of(new StoredObject(node.path("kind").asText(), node.path("name").asText(),
				node.path("version").asLong(), node.get("value")));
	}

	private static Optional<Listing> parseListing(JsonNode node) {
		if (!node.path("items").isArray()) {
			return Optional.empty();
		}
		List<StoredObject> items = new ArrayList<>();
		node.get("items").forEach((item) -> parseObject(item).ifPresent(items::add));
		return Optional.of(new Listing(node.path("revision").asLong(), items));
	}

	private static String shorten(String body) {
		String line = body.replaceAll("\\s+", " ");
		return (line.length() <= 200) ? line : line.substring(0, 200) + "...";
	}

	private static String encode(String part) {
		return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
	}

}

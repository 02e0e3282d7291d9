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
 * Blocking calls to the platform's object API and to admin ports. Invariant: a write
 * whose effect is not known fails with {@link Kind#NO_ANSWER}, never with another kind.
 * Thread-safe.
 */
final class ObjectApi {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

	private static final String OBJECTS = "/v1/objects/";

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	private final String base;

	ObjectApi(String hostAndPort) {
		this.base = "http://" + hostAndPort;
	}

	Either<StoreFailure, StoredObject> get(String kind, String name) {
		return call(request(OBJECTS + text(kind) + "/" + text(name)).GET(), Kind.UNAVAILABLE, ObjectApi::object);
	}

	Either<StoreFailure, Listing> list(String kind) {
		return call(request(OBJECTS + text(kind)).GET(), Kind.UNAVAILABLE, ObjectApi::listing);
	}

	Either<StoreFailure, StoredObject> put(String kind, String name, long ifVersion, JsonNode value) {
		HttpRequest.Builder request = request(OBJECTS + text(kind) + "/" + text(name) + "?ifVersion=" + ifVersion)
			.header("Content-Type", "application/json")
			.PUT(BodyPublishers.ofString(value.toString()));
		return call(request, Kind.NO_ANSWER, ObjectApi::object);
	}

	Either<StoreFailure, StoredObject> delete(String kind, String name, long ifVersion) {
		HttpRequest.Builder request = request(OBJECTS + text(kind) + "/" + text(name) + "?ifVersion=" + ifVersion)
			.DELETE();
		return call(request, Kind.NO_ANSWER, (answer) -> answer.has("kind") ? object(answer)
				: Optional.of(new StoredObject(kind, name, ifVersion, answer)));
	}

	/**
	 * Wait until an object of a kind changes.
	 * @param kind the kind
	 * @param afterRevision the revision after which changes count
	 * @param timeoutMs how long to wait in milliseconds
	 * @return the new revision, the old one after the time-out
	 */
	Either<StoreFailure, Long> awaitChange(String kind, long afterRevision, long timeoutMs) {
		HttpRequest.Builder request = request(
				"/v1/watch?kinds=" + text(kind) + "&after=" + afterRevision + "&timeoutMs=" + timeoutMs)
			.timeout(ANSWER_TIMEOUT.plusMillis(timeoutMs))
			.GET();
		return call(request, Kind.UNAVAILABLE, (answer) -> Optional.of(answer.path("revision").asLong(afterRevision)));
	}

	Either<StoreFailure, JsonNode> page(String path) {
		return call(request(path).GET(), Kind.UNAVAILABLE, Optional::of);
	}

	private HttpRequest.Builder request(String pathAndQuery) {
		return HttpRequest.newBuilder(URI.create(this.base + pathAndQuery)).timeout(ANSWER_TIMEOUT);
	}

	private <T> Either<StoreFailure, T> call(HttpRequest.Builder request, Kind whenLost,
			Function<JsonNode, Optional<T>> decoder) {
		try {
			HttpResponse<String> response = this.client.send(request.build(),
					BodyHandlers.ofString(StandardCharsets.UTF_8));
			return decode(response, whenLost, decoder);
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			return failed(Kind.UNAVAILABLE, "cannot connect to " + this.base);
		}
		catch (IOException ex) {
			return failed(whenLost, "the connection to " + this.base + " broke off: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return failed(whenLost, "interrupted while waiting for " + this.base);
		}
	}

	private <T> Either<StoreFailure, T> decode(HttpResponse<String> response, Kind whenLost,
			Function<JsonNode, Optional<T>> decoder) {
		int status = response.statusCode();
		return switch (status) {
			case 200,
					201 ->
				parse(response.body()).flatMap(decoder)
					.<Either<StoreFailure, T>>map(Either::right)
					.orElseGet(() -> failed(whenLost, this.base + " sent an answer that is not understood"));
			case 404 -> failed(Kind.NOT_FOUND, "not found");
			case 409 -> Either.left(new StoreFailure(Kind.CONFLICT, "the stored version is another one",
					parse(response.body()).flatMap(ObjectApi::object)));
			case 410 -> failed(Kind.COMPACTED, "the revision is too old");
			case 429, 503 -> failed(Kind.UNAVAILABLE, this.base + " refused the call with status " + status);
			default -> failed((status >= 500) ? whenLost : Kind.INVALID,
					this.base + " answered with status " + status + " " + shortened(response.body()));
		};
	}

	private static <T> Either<StoreFailure, T> failed(Kind kind, String detail) {
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

	private static Optional<StoredObject> object(JsonNode node) {
		if (!node.path("version").isIntegralNumber() || !node.has("value")) {
			return Optional.empty();
		}
		return Optional.of(new StoredObject(node.path("kind").asText(), node.path("name").asText(),
				node.path("version").asLong(), node.get("value")));
	}

	private static Optional<Listing> listing(JsonNode node) {
		if (!node.path("items").isArray()) {
			return Optional.empty();
		}
		List<StoredObject> items = new ArrayList<>();
		node.get("items").forEach((item) -> object(item).ifPresent(items::add));
		return Optional.of(new Listing(node.path("revision").asLong(), items));
	}

	private static String shortened(String body) {
		String line = body.replaceAll("\\s+", " ");
		return (line.length() <= 200) ? line : line.substring(0, 200) + "...";
	}

	private static String text(String part) {
		return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
	}

}

package org.acaciamux.internal.coordination.platform;

import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.transport.http.PlatformHttpClient.Reply;

/**
 * Converts replies of the platform to values and failures. Only a reply that proves that
 * a write did not take effect becomes {@link Kind#UNAVAILABLE} or {@link Kind#CONFLICT}.
 * Thread-safe; holds no state.
 */
final class PlatformReplies {

	private static final int MAX_BODY_CHARS = 200;

	private PlatformReplies() {
	}

	static <T> Either<StoreFailure, T> unavailable(String detail) {
		return failure(Kind.UNAVAILABLE, detail);
	}

	static <T> Either<StoreFailure, T> failure(Kind kind, String detail) {
		return Either.left(new StoreFailure(kind, detail, Optional.empty()));
	}

	static Either<StoreFailure, JsonNode> json(Reply reply) {
		if (reply instanceof Reply.NotSent notSent) {
			return unavailable("The platform was not reached: " + notSent.detail());
		}
		if (reply instanceof Reply.NoAnswer noAnswer) {
			return failure(Kind.NO_ANSWER, "The platform did not answer: " + noAnswer.detail());
		}
		Reply.Response response = (Reply.Response) reply;
		JsonNode body = PlatformJson.parse(response.body());
		if (response.status() / 100 != 2) {
			return Either.left(refusal(response.status(), body));
		}
		if (body.isMissingNode()) {
			return failure(Kind.NO_ANSWER, "The platform answered with a body that is not JSON");
		}
		return Either.right(body);
	}

	/**
	 * Read a reply. A reader that throws does not leave the call without a result, for
	 * which its caller would wait for good.
	 * @param <T> the type of the value
	 * @param reply the reply
	 * @param reader reads the body
	 * @return the value or the failure
	 */
	static <T> Either<StoreFailure, T> read(Reply reply, Function<JsonNode, Either<StoreFailure, T>> reader) {
		try {
			return json(reply).flatMap(reader);
		}
		catch (RuntimeException | Error ex) {
			return failure(Kind.NO_ANSWER, "The answer of the platform cannot be read: " + ex);
		}
	}

	static Either<StoreFailure, StoredObject> object(JsonNode body) {
		return PlatformJson.object(body)
			.<Either<StoreFailure, StoredObject>>map(Either::right)
			.orElseGet(() -> failure(Kind.NO_ANSWER, "The platform answered without an object"));
	}

	private static StoreFailure refusal(int status, JsonNode body) {
		String text = body.toString();
		String detail = "The platform answered with status " + status + ": "
				+ text.substring(0, Math.min(MAX_BODY_CHARS, text.length()));
		return new StoreFailure(kind(status), detail, PlatformJson.object(body));
	}

	private static Kind kind(int status) {
		return switch (status) {
			case 404 -> Kind.NOT_FOUND;
			case 409, 412 -> Kind.CONFLICT;
			case 410 -> Kind.COMPACTED;
			case 429, 503 -> Kind.UNAVAILABLE;
			default -> (status >= 500) ? Kind.NO_ANSWER : Kind.INVALID;
		};
	}

}

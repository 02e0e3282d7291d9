package org.acaciamux.internal.transport.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.routing.RoutedRequest;
import org.acaciamux.internal.protocol.Headers;
import org.acaciamux.internal.protocol.wire.Header;

/**
 * Turns a caller's HTTP request into a {@link RoutedRequest}, or reports what is wrong
 * with it. Thread-safe; holds no state.
 */
public final class RequestParser {

	private static final String PATH_PREFIX = "/pools/";

	private static final long DEFAULT_DEADLINE_MS = 60_000;

	private static final long MAX_DEADLINE_MS = 3_600_000;

	private static final long RETRY_AFTER_MS = 1_000;

	private static final int MAX_ATTEMPT = 1_000_000;

	private static final String DEFAULT_ORGANISATION = "default";

	private static final String DEFAULT_PRIORITY = "normal";

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	private static final Pattern VISIBLE_ASCII = Pattern.compile("[\\x21-\\x7e]{1,128}");

	private static final Pattern TARGET = Pattern.compile("[\\x21-\\x7e]+");

	private static final Pattern DIGITS = Pattern.compile("[0-9]{1,9}");

	private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

	private static final List<String> CONTROL_HEADERS = List.of(Headers.CHAT, Headers.ORGANISATION, Headers.PRIORITY,
			Headers.DEADLINE_MS, Headers.AFFINITY, Headers.ATTEMPT, Headers.IDEMPOTENCY_KEY);

	/**
	 * Parse a request.
	 * @param request the request line and headers
	 * @param body the whole body
	 * @return the request, or the failure to answer with
	 */
	public Either<Failure, RoutedRequest> parse(HttpRequest request, ByteString body) {
		try {
			return Either.right(read(request, body));
		}
		catch (InvalidRequestException ex) {
			return Either.left(refusal(request, FailureCode.BAD_REQUEST, ex.getMessage()));
		}
	}

	/**
	 * Create the failure for a request that is refused before it is parsed.
	 * @param request the request line and headers
	 * @param code the code
	 * @param detail what happened, why, and what to do next
	 * @return the failure, with the outcome that is certain for the request
	 */
	static Failure refusal(HttpRequest request, FailureCode code, String detail) {
		boolean keyed = request.headers().contains(Headers.IDEMPOTENCY_KEY);
		int attempt = "1".equals(request.headers().get(Headers.ATTEMPT)) ? 1 : 0;
		long retryAfterMs = (code.httpStatus() == 503) ? RETRY_AFTER_MS : 0;
		return new Failure(code, RoutedRequest.outcomeIfNeverSent(keyed, attempt), detail, retryAfterMs);
	}

	private RoutedRequest read(HttpRequest request, ByteString body) throws InvalidRequestException {
		HttpHeaders headers = request.headers();
		for (String name : CONTROL_HEADERS) {
			check(headers.getAll(name).size() <= 1, "The header %s occurs more than once; send it once.", name);
		}
		String method = request.method().name();
		check(METHODS.contains(method),
				"The method %s is not supported; use one of GET, HEAD, POST, PUT, PATCH, DELETE and OPTIONS.",
				printable(method));
		String target = request.uri();
		check(target.startsWith(PATH_PREFIX) && TARGET.matcher(target).matches(),
				"The path does not start with /pools/{pool}/{path}; for example /pools/chat/v1/chat/completions.");
		int slash = target.indexOf('/', PATH_PREFIX.length());
		check(slash > 0, "The path ends with the pool's name; append a slash and the path for the backend server, "
				+ "for example /pools/chat/v1/chat/completions.");
		String pool = target.substring(PATH_PREFIX.length(), slash);
		check(NAME.matcher(pool).matches(), "The pool name %s is not valid; use 1 to 63 letters, digits, dots, "
				+ "underscores and hyphens, starting with a letter or digit.", printable(pool));
		return new RoutedRequest(pool, method, target.substring(slash), forwardedHeaders(headers), body,
				visibleValue(headers, Headers.CHAT), nameValue(headers, Headers.ORGANISATION, DEFAULT_ORGANISATION),
				nameValue(headers, Headers.PRIORITY, DEFAULT_PRIORITY),
				numberValue(headers, Headers.DEADLINE_MS, DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS), affinity(headers),
				(int) numberValue(headers, Headers.ATTEMPT, 0, MAX_ATTEMPT),
				visibleValue(headers, Headers.IDEMPOTENCY_KEY));
	}

	private static List<Header> forwardedHeaders(HttpHeaders headers) {
		HopHeaders hop = HopHeaders.ofRequest(headers.getAll("Connection"));
		List<Header> result = new ArrayList<>(headers.size());
		for (Map.Entry<String, String> entry : headers) {
			if (!hop.contains(entry.getKey()) && !isControlHeader(entry.getKey())) {
				result.add(Header.newBuilder().setName(entry.getKey()).setValue(entry.getValue()).build());
			}
		}
		return result;
	}

	private static boolean isControlHeader(String name) {
		return name.toLowerCase(Locale.ROOT).startsWith("acaciamux-");
	}

	private static Optional<String> affinity(HttpHeaders headers) {
		return Optional.ofNullable(headers.get(Headers.AFFINITY))
			.filter((value) -> VISIBLE_ASCII.matcher(value).matches());
	}

	private static Optional<String> visibleValue(HttpHeaders headers, String name) throws InvalidRequestException {
		String value = headers.get(name);
		check(value == null || VISIBLE_ASCII.matcher(value).matches(),
				"The header %s must have 1 to 128 visible ASCII characters without spaces.", name);
		return Optional.ofNullable(value);
	}

	private static String nameValue(HttpHeaders headers, String name, String defaultValue)
			throws InvalidRequestException {
		String value = headers.get(name, defaultValue);
		check(NAME.matcher(value).matches(), "The header %s must have 1 to 63 letters, digits, dots, underscores and "
				+ "hyphens, starting with a letter or digit.", name);
		return value;
	}

	private static long numberValue(HttpHeaders headers, String name, long defaultValue, long max)
			throws InvalidRequestException {
		String value = headers.get(name);
		if (value == null) {
			return defaultValue;
		}
		long number = DIGITS.matcher(value).matches() ? Long.parseLong(value) : 0;
		check(number >= 1 && number <= max, "The header %s must be a whole number from 1 to %s, got %s.", name, max,
				printable(value));
		return number;
	}

	private static String printable(String text) {
		String clean = text.replaceAll("[^\\x20-\\x7e]", "?");
		return (clean.length() > 40) ? clean.substring(0, 40) + "..." : clean;
	}

	private static void check(boolean valid, String template, Object... args) throws InvalidRequestException {
		if (!valid) {
			throw new InvalidRequestException(String.format(Locale.ROOT, template, args));
		}
	}

	private static final class InvalidRequestException extends Exception {

		private static final long serialVersionUID = 1L;

		InvalidRequestException(String message) {
			super(message, null, false, false);
		}

	}

}

package org.acaciamux.examples.harness;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Sends HTTP requests to processes on this machine. Thread-safe.
 */
public final class Caller {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(90);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(10))
		.build();

	/**
	 * Send a request and read the whole answer. Fails if its status and headers do not
	 * arrive within 90 s.
	 * @param method the method
	 * @param port the port on 127.0.0.1
	 * @param path the path with its query
	 * @param body the body
	 * @param headers the headers
	 * @return the answer
	 */
	public Answer send(String method, int port, String path, String body, Map<String, String> headers) {
		try {
			return Answer
				.of(this.client.send(request(method, port, path, body, headers), HttpResponse.BodyHandlers.ofString()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(method + " " + path + " failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	public Answer get(int port, String path) {
		return send("GET", port, path, "", Map.of());
	}

	public Answer post(int port, String path, String body) {
		return send("POST", port, path, body, Map.of());
	}

	/**
	 * Send a request without waiting for the answer.
	 * @param method the method
	 * @param port the port on 127.0.0.1
	 * @param path the path with its query
	 * @param body the body
	 * @param headers the headers
	 * @return completes with the answer, or exceptionally if the connection fails
	 */
	public CompletableFuture<Answer> sendAsync(String method, int port, String path, String body,
			Map<String, String> headers) {
		return this.client.sendAsync(request(method, port, path, body, headers), HttpResponse.BodyHandlers.ofString())
			.thenApply(Answer::of);
	}

	/**
	 * Send a POST and return as soon as the answer's status and headers have arrived.
	 * @param port the port on 127.0.0.1
	 * @param path the path
	 * @param body the body
	 * @param headers the headers
	 * @return the answer, whose body is read from the stream
	 */
	public HttpResponse<InputStream> openStream(int port, String path, String body, Map<String, String> headers) {
		try {
			return this.client.send(request("POST", port, path, body, headers),
					HttpResponse.BodyHandlers.ofInputStream());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("POST " + path + " failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	private static HttpRequest request(String method, int port, String path, String body, Map<String, String> headers) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
			.timeout(REQUEST_TIMEOUT)
			.method(method,
					body.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
		headers.forEach(builder::header);
		return builder.build();
	}

	/**
	 * A complete answer.
	 *
	 * @param status the status code
	 * @param headers the first value of each header, names in lower case
	 * @param body the body
	 */
	public record Answer(int status, Map<String, String> headers, String body) {

		static Answer of(HttpResponse<String> response) {
			Map<String, String> headers = new java.util.TreeMap<>();
			response.headers().map().forEach((name, values) -> headers.put(name.toLowerCase(), values.get(0)));
			return new Answer(response.statusCode(), headers, response.body());
		}

		/**
		 * Return a header.
		 * @param name the name in any case
		 * @return the value, empty if there is none
		 */
		public String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(), "");
		}

		/**
		 * Parse the body as JSON.
		 * @return the parsed value
		 */
		public JsonNode json() {
			try {
				return JSON.readTree(this.body);
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("the body is not JSON: " + this.body, ex);
			}
		}

	}

}

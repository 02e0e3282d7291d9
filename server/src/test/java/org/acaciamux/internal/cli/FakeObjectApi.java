package org.acaciamux.internal.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An object API on a loopback port with faults that a test injects. Each write uses up
 * the next queued fault. Each watch runs the next queued step, if any, and returns at
 * once instead of waiting for a change.
 */
final class FakeObjectApi implements AutoCloseable {

	private final HttpServer server;

	private final Map<String, ObjectNode> objects = new TreeMap<>();

	private final Deque<Fault> faults = new ArrayDeque<>();

	private final Deque<Runnable> watchSteps = new ArrayDeque<>();

	private long revision = 10;

	private int writes;

	private boolean down;

	FakeObjectApi() {
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	synchronized long store(String kind, String name, String value) {
		return write(kind, name, parse(value));
	}

	synchronized void remove(String kind, String name) {
		this.objects.remove(kind + "/" + name);
	}

	synchronized JsonNode value(String kind, String name) {
		ObjectNode object = this.objects.get(kind + "/" + name);
		return (object != null) ? object.get("value") : null;
	}

	synchronized int writes() {
		return this.writes;
	}

	synchronized void queueWriteFault(Fault fault) {
		this.faults.add(fault);
	}

	synchronized void queueWatchStep(Runnable step) {
		this.watchSteps.add(step);
	}

	synchronized void setDown(boolean value) {
		this.down = value;
	}

	private synchronized void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		if (this.down) {
			respond(exchange, 503, "{}");
		}
		else if (path.equals("/v1/watch")) {
			Runnable step = this.watchSteps.poll();
			if (step != null) {
				step.run();
			}
			respond(exchange, 200, "{\"revision\":" + this.revision + ",\"events\":[]}");
		}
		else if (exchange.getRequestMethod().equals("GET")) {
			handleRead(exchange, path.substring("/v1/objects/".length()));
		}
		else {
			handleWrite(exchange, path.substring("/v1/objects/".length()));
		}
	}

	private void handleRead(HttpExchange exchange, String key) throws IOException {
		if (key.contains("/")) {
			ObjectNode object = this.objects.get(key);
			respond(exchange, (object != null) ? 200 : 404, (object != null) ? object.toString() : "{}");
			return;
		}
		ObjectNode listing = Documents.JSON.createObjectNode().put("revision", this.revision);
		this.objects.values()
			.stream()
			.filter((object) -> object.get("kind").asText().equals(key))
			.forEach(listing.putArray("items")::add);
		respond(exchange, 200, listing.toString());
	}

	private void handleWrite(HttpExchange exchange, String key) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		Fault fault = this.faults.isEmpty() ? Fault.NONE : this.faults.poll();
		fault.before.run();
		if (fault.processed) {
			String result = apply(exchange, key, body);
			if (fault.answered) {
				respond(exchange, result.startsWith("409") ? 409 : 200, result.substring(3));
			}
		}
		if (!fault.answered) {
			exchange.close();
		}
	}

	private String apply(HttpExchange exchange, String key, String body) {
		ObjectNode current = this.objects.get(key);
		long expected = Long.parseLong(exchange.getRequestURI().getQuery().substring("ifVersion=".length()));
		long version = (current != null) ? current.get("version").asLong() : 0;
		if (expected != version) {
			return "409" + ((current != null) ? current : "{}");
		}
		this.writes++;
		if (exchange.getRequestMethod().equals("DELETE")) {
			return "200" + this.objects.remove(key);
		}
		String[] parts = key.split("/");
		write(parts[0], parts[1], parse(body));
		return "200" + this.objects.get(key);
	}

	private long write(String kind, String name, JsonNode value) {
		this.revision++;
		ObjectNode object = Documents.JSON.createObjectNode().put("kind", kind).put("name", name);
		object.put("version", this.revision).set("value", value);
		this.objects.put(kind + "/" + name, object);
		return this.revision;
	}

	private static JsonNode parse(String text) {
		try {
			return Documents.YAML.readTree(text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void respond(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	/**
	 * Fault that is injected into one write.
	 *
	 * @param before runs when the write has arrived, before it is processed
	 * @param processed whether the write is processed, instead of being dropped
	 * @param answered whether the client gets an answer
	 */
	record Fault(Runnable before, boolean processed, boolean answered) {

		static final Fault NONE = new Fault(() -> {
		}, true, true);

		static final Fault ANSWER_LOST = new Fault(() -> {
		}, true, false);

		static final Fault REQUEST_LOST = new Fault(() -> {
		}, false, false);

		static Fault concurrentChange(Runnable change) {
			return new Fault(change, true, true);
		}

		static Fault requestLostAfter(Runnable change) {
			return new Fault(change, false, false);
		}

	}

}

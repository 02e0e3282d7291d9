package org.acaciamux.examples.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stands in for the platform's object API. Versions come from one counter for the whole
 * store. The control calls inject faults: an outage, slow answers, writes that take
 * effect but whose answer is lost, and watches that are refused because old changes were
 * discarded. Confined to the server's event loop.
 */
public final class PlatformStandIn {

	private static final int MAX_VALUE_BYTES = 1024 * 1024;

	private static final String OBJECTS = "/v1/objects/";

	private final StandInServer server = new StandInServer(this::handle);

	private final ObjectTable objects = new ObjectTable();

	private final List<Watch> watches = new ArrayList<>();

	private final Map<String, Long> calls = new TreeMap<>();

	private int highestWatches;

	private boolean outage;

	private long delayMs;

	private int answersToLose;

	private String lostAnswerKind = "";

	private PlatformStandIn() {
	}

	/**
	 * Start the stand-in and print the ready line.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandInOptions options = StandInOptions.parse(args);
		options.printReady(new PlatformStandIn().server.start(options.port));
	}

	private void handle(Exchange exchange) {
		Optional<String> control = exchange.pathAfter("POST", "/control/");
		if (control.isPresent()) {
			control(exchange, control.get());
		}
		else if (exchange.matches("GET", "/control/state")) {
			exchange.reply(200, state());
		}
		else if (this.delayMs > 0) {
			this.server.schedule(() -> answerAfterDelay(exchange), this.delayMs);
		}
		else {
			answer(exchange);
		}
	}

	private void answerAfterDelay(Exchange exchange) {
		try {
			answer(exchange);
		}
		catch (IllegalArgumentException ex) {
			exchange.replyError(400, ex.getMessage());
		}
	}

	private void answer(Exchange exchange) {
		if (this.outage) {
			count("REFUSED", "");
			exchange.replyError(503, "outage");
			return;
		}
		if (exchange.matches("GET", "/v1/watch")) {
			watch(exchange);
			return;
		}
		String[] name = exchange.path().startsWith(OBJECTS) ? exchange.path().substring(OBJECTS.length()).split("/", 2)
				: new String[0];
		if (name.length == 1 && exchange.method().equals("GET")) {
			count("LIST", name[0]);
			list(exchange, name[0]);
		}
		else if (name.length == 2) {
			count(exchange.method(), name[0]);
			handleObject(exchange, name[0], name[1]);
		}
		else {
			exchange.replyError(404, "no such path");
		}
	}

	private void handleObject(Exchange exchange, String kind, String name) {
		Optional<ObjectNode> current = this.objects.find(kind, name);
		if (exchange.method().equals("GET")) {
			exchange.reply(current.isPresent() ? 200 : 404, current.orElseGet(Exchange::newObject));
			return;
		}
		long expected = exchange.queryLong("ifVersion", -1);
		long currentVersion = current.map((node) -> node.path("version").asLong()).orElse(0L);
		if (expected != currentVersion) {
			exchange.reply(current.isPresent() ? 409 : 404, current.orElseGet(Exchange::newObject));
			return;
		}
		if (exchange.body().length > MAX_VALUE_BYTES) {
			exchange.replyError(413, "the value is larger than one megabyte");
			return;
		}
		write(exchange, kind, name);
	}

	private void write(Exchange exchange, String kind, String name) {
		ObjectNode written = exchange.method().equals("PUT") ? this.objects.put(kind, name, exchange.json())
				: this.objects.delete(kind, name);
		answerWatches(kind);
		boolean loseAnswer = this.answersToLose > 0
				&& (this.lostAnswerKind.isEmpty() || this.lostAnswerKind.equals(kind));
		if (loseAnswer) {
			this.answersToLose--;
			count("LOST", kind);
			exchange.abort();
			return;
		}
		exchange.reply(200, written);
	}

	private void list(Exchange exchange, String kind) {
		ObjectNode answer = Exchange.newObject().put("revision", this.objects.revision());
		ArrayNode items = answer.putArray("items");
		this.objects.list(kind).forEach(items::add);
		exchange.reply(200, answer);
	}

	private void watch(Exchange exchange) {
		Set<String> kinds = Set.of(exchange.query("kinds", "").split(","));
		long after = exchange.queryLong("after", 0);
		count("WATCH", "");
		if (after < this.objects.oldestRevision()) {
			exchange.reply(410, Exchange.newObject().put("revision", this.objects.revision()));
			return;
		}
		Watch watch = new Watch(exchange, kinds, after);
		if (this.objects.changedAfter(after, kinds)) {
			watch.answer();
			return;
		}
		this.watches.add(watch);
		this.highestWatches = Math.max(this.highestWatches, this.watches.size());
		exchange.onClose(() -> this.watches.remove(watch));
		this.server.schedule(() -> expire(watch), exchange.queryLong("timeoutMs", 10_000));
	}

	private void expire(Watch watch) {
		if (this.watches.remove(watch)) {
			watch.answer();
		}
	}

	private void answerWatches(String kind) {
		for (Watch watch : List.copyOf(this.watches)) {
			if (watch.kinds.contains(kind)) {
				expire(watch);
			}
		}
	}

	private void control(Exchange exchange, String command) {
		JsonNode body = exchange.json();
		switch (command) {
			case "outage" -> setOutage(body.path("on").asBoolean());
			case "slow" -> {
				this.delayMs = body.path("delayMs").asLong();
			}
			case "lose-answers" -> {
				this.answersToLose = body.path("count").asInt();
				this.lostAnswerKind = body.path("kind").asText();
			}
			case "forget-changes" -> this.objects.forgetChanges();
			default -> throw new IllegalArgumentException("unknown control " + command);
		}
		exchange.reply(200, state());
	}

	private void setOutage(boolean on) {
		this.outage = on;
		if (on) {
			this.watches.forEach((watch) -> watch.exchange.replyError(503, "outage"));
			this.watches.clear();
		}
	}

	private void count(String call, String kind) {
		this.calls.merge(kind.isEmpty() ? call : call + " " + kind, 1L, Long::sum);
	}

	private ObjectNode state() {
		ObjectNode state = Exchange.newObject()
			.put("revision", this.objects.revision())
			.put("outage", this.outage)
			.put("delayMs", this.delayMs)
			.put("answersToLose", this.answersToLose)
			.put("watches", this.watches.size())
			.put("highestWatches", this.highestWatches);
		ObjectNode counts = state.putObject("calls");
		this.calls.forEach(counts::put);
		return state;
	}

	private final class Watch {

		private final Exchange exchange;

		private final Set<String> kinds;

		private final long after;

		private Watch(Exchange exchange, Set<String> kinds, long after) {
			this.exchange = exchange;
			this.kinds = kinds;
			this.after = after;
		}

		private void answer() {
			ObjectTable table = PlatformStandIn.this.objects;
			ObjectNode answer = Exchange.newObject().put("revision", table.revision());
			ArrayNode events = answer.putArray("events");
			table.changes(this.after, this.kinds).forEach(events::add);
			this.exchange.reply(200, answer);
		}

	}

}

package org.acaciamux.examples.standin;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stands in for a model engine: streams tokens as server-sent events. Supports
 * priorities, cancelling and resuming requests, a bounded prefix cache, load reports with
 * a lag, KV export and import, and orders to load a version or change the role. A prompt
 * with {@link #CRASH_MARKER} crashes the engine: the process ends or, if
 * {@code --restart-ms} is set, the server restarts after that pause and has lost its
 * requests and its cache. Confined to the server's event loop.
 */
public final class EngineStandIn {

	/** A prompt that contains this text crashes the engine. */
	public static final String CRASH_MARKER = "CRASH-THE-ENGINE";

	/** The exit code of a process that SIGABRT ended: 128 + 6. */
	private static final int CRASH_EXIT_CODE = 134;

	private static final int MAX_GENERATIONS = 256;

	private static final int MAX_TOKENS = 100_000;

	private final StandInServer server = new StandInServer(this::handle);

	private final StandInOptions options;

	private final PrefixCache cache;

	private final EngineOrders orders;

	private final Map<String, Generation> generations = new LinkedHashMap<>();

	private final List<Generation> waiting = new ArrayList<>();

	private final LaggedLoad load;

	private String incarnation = newIncarnation();

	private long tokenPauseMs;

	private int running;

	private int highestRunning;

	private long started;

	private long cancelled;

	private long crashes;

	private EngineStandIn(StandInOptions options) {
		this.options = options;
		this.tokenPauseMs = options.tokenPauseMs;
		this.cache = new PrefixCache(options.cacheChats, options.eventLagMs, options.eventGap);
		this.orders = new EngineOrders(options.checksFence, options.weights);
		this.load = new LaggedLoad(options.loadLagMs);
	}

	/**
	 * Start the stand-in and print the ready line.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		StandInOptions options = StandInOptions.parse(args);
		options.printReady(new EngineStandIn(options).server.start(options.port));
	}

	private static String newIncarnation() {
		return Long.toHexString(new SecureRandom().nextLong());
	}

	private void handle(Exchange exchange) {
		Optional<String> cancel = exchange.pathAfter("POST", "/v1/cancel/");
		Optional<String> resume = exchange.pathAfter("GET", "/v1/resume/");
		if (exchange.matches("POST", "/v1/chat/completions")) {
			complete(exchange);
		}
		else if (cancel.isPresent()) {
			cancel(exchange, cancel.get());
		}
		else if (resume.isPresent()) {
			resume(exchange, resume.get());
		}
		else if (exchange.path().startsWith("/control/")) {
			control(exchange);
		}
		else {
			handleOtherRequest(exchange);
		}
	}

	private void handleOtherRequest(Exchange exchange) {
		switch (exchange.method() + " " + exchange.path()) {
			case "GET /v1/health" -> exchange.reply(200, this.orders.describe(this.incarnation));
			case "GET /v1/load" -> exchange.reply(200, this.load.report());
			case "GET /v1/cache/events" -> exchange.reply(200, this.cache.eventsAfter(exchange.queryLong("after", 0)));
			case "POST /v1/kv/export" -> exportCache(exchange);
			case "POST /v1/kv/import" -> {
				this.cache.store(exchange.json().path("chat").asText(), exchange.json().path("tokens").asInt());
				exchange.reply(200, Exchange.newObject());
			}
			case "POST /v1/orders" -> this.orders.handle(exchange);
			default -> exchange.replyError(404, "no such path");
		}
	}

	private void complete(Exchange exchange) {
		JsonNode body = exchange.json();
		String prompt = body.path("prompt").asText();
		if (prompt.contains(CRASH_MARKER)) {
			crash();
			return;
		}
		String requestId = exchange.header("Acaciamux-Request-Id", "local-" + this.started);
		int tokens = Math.min(MAX_TOKENS, body.path("maxTokens").asInt(16));
		Generation generation = new Generation(requestId, body.path("chat").asText(), prompt.split("\\s+").length,
				tokens, parsePriority(exchange.header("Acaciamux-Priority", "5")));
		this.started++;
		addGeneration(generation);
		generation.attach(exchange, 0);
		this.waiting.add(generation);
		startWaiting();
	}

	private static int parsePriority(String priority) {
		return switch (priority) {
			case "high" -> 8;
			case "normal" -> 5;
			case "low" -> 2;
			default -> priority.matches("\\d{1,3}") ? Integer.parseInt(priority) : 5;
		};
	}

	private void addGeneration(Generation generation) {
		this.generations.put(generation.requestId(), generation);
		if (this.generations.size() > MAX_GENERATIONS) {
			this.generations.values()
				.stream()
				.filter(Generation::isEnded)
				.findFirst()
				.ifPresent((oldest) -> this.generations.remove(oldest.requestId()));
		}
	}

	private void startWaiting() {
		while (this.running < this.options.batch && !this.waiting.isEmpty()) {
			Generation nextGeneration = this.waiting.stream()
				.max(Comparator.comparingInt(Generation::priority))
				.orElseThrow();
			this.waiting.remove(nextGeneration);
			this.running++;
			this.highestRunning = Math.max(this.highestRunning, this.running);
			begin(nextGeneration);
		}
		this.load.update(this.running, this.waiting.size());
	}

	private void begin(Generation generation) {
		int heldTokens = this.cache.heldTokens(generation.chat());
		ObjectNode firstEvent = Exchange.newObject()
			.put("server", this.options.id)
			.put("contextHeld", heldTokens > 0)
			.put("heldTokens", heldTokens)
			.put("requestId", generation.requestId());
		generation.append("data: " + firstEvent + "\n\n");
		step(generation, this.incarnation);
	}

	private void step(Generation generation, String startIncarnation) {
		if (!startIncarnation.equals(this.incarnation)) {
			return;
		}
		if (generation.isEnded() || generation.produce()) {
			this.cache.store(generation.chat(), generation.contextTokens());
			this.running--;
			startWaiting();
			return;
		}
		this.server.schedule(() -> step(generation, startIncarnation), this.tokenPauseMs);
	}

	private void cancel(Exchange exchange, String requestId) {
		Generation generation = this.generations.get(requestId);
		if (generation == null) {
			exchange.reply(404, Exchange.newObject());
			return;
		}
		this.cancelled += generation.isEnded() ? 0 : 1;
		this.waiting.remove(generation);
		generation.cancel();
		this.load.update(this.running, this.waiting.size());
		exchange.reply(200, Exchange.newObject());
	}

	private void resume(Exchange exchange, String requestId) {
		Generation generation = this.generations.get(requestId);
		if (generation == null) {
			exchange.reply(404, Exchange.newObject());
			return;
		}
		generation.attach(exchange, (int) exchange.queryLong("offset", 0));
	}

	private void exportCache(Exchange exchange) {
		String chat = exchange.json().path("chat").asText();
		int tokens = this.cache.heldTokens(chat);
		exchange.reply((tokens > 0) ? 200 : 404, Exchange.newObject().put("chat", chat).put("tokens", tokens));
	}

	private void crash() {
		this.crashes++;
		if (this.options.restartMs < 0) {
			Runtime.getRuntime().halt(CRASH_EXIT_CODE);
		}
		this.incarnation = newIncarnation();
		this.generations.clear();
		this.waiting.clear();
		this.cache.clear();
		this.running = 0;
		this.load.update(0, 0);
		this.server.restart(this.options.restartMs);
	}

	private void setTokenPause(long ms) {
		this.tokenPauseMs = ms;
	}

	private void control(Exchange exchange) {
		switch (exchange.method() + " " + exchange.path()) {
			case "POST /control/token-pause" -> setTokenPause(exchange.json().path("ms").asLong());
			case "POST /control/crash" -> {
				crash();
				return;
			}
			case "GET /control/state" -> {
				// Every control call except the crash is answered with the state below.
			}
			default -> throw new IllegalArgumentException("unknown control " + exchange.path());
		}
		ObjectNode state = this.orders.describe(this.incarnation)
			.put("running", this.running)
			.put("waiting", this.waiting.size())
			.put("highestRunning", this.highestRunning)
			.put("started", this.started)
			.put("cancelled", this.cancelled)
			.put("crashes", this.crashes)
			.put("cachedChats", this.cache.size());
		exchange.reply(200, state);
	}

}

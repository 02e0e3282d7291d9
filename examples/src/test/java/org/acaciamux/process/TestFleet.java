package org.acaciamux.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.acaciamux.examples.harness.CallKeys;
import org.acaciamux.examples.harness.Caller.Answer;
import org.acaciamux.examples.harness.Daemon;
import org.acaciamux.examples.harness.DaemonSpec;
import org.acaciamux.examples.harness.Fleet;
import org.acaciamux.examples.harness.ManagedProcess;

/**
 * A small fleet for tests: routers, writer agents (with model engines) and ordering
 * agents (with plain services). Not thread-safe.
 */
final class TestFleet implements AutoCloseable {

	static final String CHAT_PATH = "/pools/writer/v1/chat/completions";

	static final String CHARGE_PATH = "/pools/ordering/charges";

	private static final String REGION = "tw-north";

	private static final String WRITER_POOL = """
			apiVersion: acaciamux/v1
			kind: BackendPool
			name: writer
			spec: {model: true, repeatable: true, reusePreference: 0.5}
			""";

	private static final String ORDERING_POOL = """
			apiVersion: acaciamux/v1
			kind: BackendPool
			name: ordering
			spec: {model: false, repeatable: false, claimPartitions: 1}
			""";

	final Fleet fleet = Fleet.start();

	final List<Daemon> routers = new ArrayList<>();

	final List<Daemon> writerAgents = new ArrayList<>();

	final List<ManagedProcess> engines = new ArrayList<>();

	final List<Daemon> orderingAgents = new ArrayList<>();

	final List<ManagedProcess> services = new ArrayList<>();

	private TestFleet() {
	}

	static TestFleet create() {
		TestFleet created = new TestFleet();
		created.fleet.writeRecord(WRITER_POOL);
		created.fleet.writeRecord(ORDERING_POOL);
		return created;
	}

	TestFleet withRouters(int count) {
		for (int i = 0; i < count; i++) {
			this.routers.add(this.fleet.launch(DaemonSpec.router("router-" + (i + 1), REGION, domain(i))));
		}
		return this;
	}

	TestFleet withWriterAgents(int count, String... engineOptions) {
		for (int i = 0; i < count; i++) {
			ManagedProcess engine = this.fleet.startEngine("engine-" + (i + 1), engineOptions);
			this.engines.add(engine);
			this.writerAgents.add(this.fleet
				.launch(DaemonSpec.agent("writer-" + (i + 1), REGION, domain(i), "writer", engine.hostPort())));
		}
		return this;
	}

	TestFleet withOrderingAgents(int count, long chargeMs) {
		for (int i = 0; i < count; i++) {
			ManagedProcess service = this.fleet.startPlainService("service-" + (i + 1), "--charge-ms",
					Long.toString(chargeMs));
			this.services.add(service);
			this.orderingAgents.add(this.fleet
				.launch(DaemonSpec.agent("till-" + (i + 1), REGION, domain(i), "ordering", service.hostPort())));
		}
		return this;
	}

	/**
	 * Enter all daemons in the VM list and wait until every router reaches every backend
	 * server and the owner of the keys of charges.
	 * @return this fleet
	 */
	TestFleet ready() {
		List<Daemon> all = new ArrayList<>(this.routers);
		all.addAll(this.writerAgents);
		all.addAll(this.orderingAgents);
		all.forEach(this.fleet::register);
		all.forEach(this.fleet::awaitReady);
		for (Daemon router : this.routers) {
			this.fleet.awaitPool(router, "writer", this.writerAgents.size());
			this.fleet.awaitPool(router, "ordering", this.orderingAgents.size());
		}
		if (!this.orderingAgents.isEmpty()) {
			for (int i = 0; i < this.routers.size(); i++) {
				awaitOwner(i);
			}
		}
		return this;
	}

	private void awaitOwner(int router) {
		Answer answer = charge(router, CallKeys.next());
		if (answer.status() != 201) {
			throw new IllegalStateException(
					"router-" + (router + 1) + " reaches no owner of a charge's key: " + answer);
		}
	}

	/**
	 * Return the recent routes of a router, for messages of failed assertions.
	 * @param router the router's index
	 * @return the routes as JSON
	 */
	String recentRoutes(int router) {
		return this.fleet.caller().get(router(router).adminPort(), "/dump").json().path("router").toString();
	}

	Daemon router(int index) {
		return this.routers.get(index);
	}

	static String prompt(String chat, int tokens) {
		return "{\"chat\":\"" + chat + "\",\"prompt\":\"plan the week\",\"maxTokens\":" + tokens + "}";
	}

	static Map<String, String> chatHeaders(String chat) {
		return Map.of("Acaciamux-Chat", chat, "Acaciamux-Organisation", "harbour-kiosks");
	}

	Answer chat(int router, String chat, int tokens) {
		return this.fleet.sendWithRetries("POST", router(router), CHAT_PATH, prompt(chat, tokens), chatHeaders(chat));
	}

	Answer charge(int router, String key) {
		return this.fleet.sendWithRetries("POST", router(router), CHARGE_PATH, "{\"amount\":7}", chargeHeaders(key));
	}

	Answer chargeWithoutRetry(int router, String key) {
		return this.fleet.caller()
			.send("POST", router(router).httpPort(), CHARGE_PATH, "{\"amount\":7}", chargeHeaders(key));
	}

	CompletableFuture<Answer> chargeAsync(int router, String key) {
		return this.fleet.caller()
			.sendAsync("POST", router(router).httpPort(), CHARGE_PATH, "{\"amount\":7}", chargeHeaders(key));
	}

	private static Map<String, String> chargeHeaders(String key) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Idempotency-Key", key);
		headers.put("Acaciamux-Organisation", "harbour-kiosks");
		return headers;
	}

	/**
	 * Count the executions of an idempotency key in all plain services.
	 * @param key the key
	 * @return the number of executions
	 */
	int executions(String key) {
		return this.services.stream()
			.mapToInt((service) -> state(service).json().path("executions").path(key).asInt())
			.sum();
	}

	/**
	 * Sum up a counter of all engines.
	 * @param field the counter's field in {@code GET /control/state}
	 * @return the sum
	 */
	long sumOverEngines(String field) {
		return this.engines.stream().mapToLong((engine) -> state(engine).json().path(field).asLong()).sum();
	}

	Answer state(ManagedProcess standIn) {
		return this.fleet.caller().get(standIn.port(), "/control/state");
	}

	Daemon agent(String id) {
		List<Daemon> agents = new ArrayList<>(this.writerAgents);
		agents.addAll(this.orderingAgents);
		return agents.stream().filter((agent) -> agent.id().equals(id)).findFirst().orElseThrow();
	}

	private static String domain(int index) {
		return REGION + "-" + (char) ('a' + index % 4);
	}

	@Override
	public void close() {
		this.fleet.close();
	}

}

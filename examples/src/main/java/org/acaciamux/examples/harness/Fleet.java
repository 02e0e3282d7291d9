package org.acaciamux.examples.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

import org.acaciamux.examples.harness.Caller.Answer;

/**
 * A fleet on 127.0.0.1: stand-ins for the platform and its VM list, and the backend
 * servers, agents and routers that are added. Each is a separate process. Not
 * thread-safe.
 */
public final class Fleet implements AutoCloseable {

	private static final String STAND_IN_PACKAGE = "org.acaciamux.examples.standin.";

	private static final String CLI_MAIN_CLASS = "org.acaciamux.CliMain";

	private static final String DAEMON_MAIN_CLASS = "org.acaciamux.DaemonMain";

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final YAMLMapper YAML = new YAMLMapper();

	private static final long READY_SECONDS = 60;

	private static final Set<Integer> RETRYABLE_STATUSES = Set.of(502, 503, 504);

	private static final int MAX_RETRIES = 120;

	private static final long RETRY_DELAY_MS = 250;

	private final ProcessHarness harness;

	private final Caller caller = new Caller();

	private final Path settings;

	private final ObjectNode limits = JSON.createObjectNode();

	private final ManagedProcess platform;

	private final ManagedProcess vmList;

	private Fleet(ProcessHarness harness) {
		this.harness = harness;
		this.settings = createSettingsDirectory();
		this.platform = harness.launch("platform", STAND_IN_PACKAGE + "PlatformStandIn", List.of());
		this.vmList = harness.launch("vm-list", STAND_IN_PACKAGE + "VmListStandIn", List.of());
	}

	public static Fleet start() {
		return start(ProcessHarness.small());
	}

	/**
	 * Start a fleet that consists of the stand-ins for the platform and the VM list.
	 * @param harness starts all processes of the fleet; closed together with the fleet,
	 * or here if a stand-in does not start
	 * @return the fleet
	 */
	public static Fleet start(ProcessHarness harness) {
		try {
			Fleet fleet = new Fleet(harness);
			fleet.platform.awaitReadyLine();
			fleet.vmList.awaitReadyLine();
			return fleet;
		}
		catch (RuntimeException ex) {
			harness.close();
			throw ex;
		}
	}

	public Caller caller() {
		return this.caller;
	}

	public ManagedProcess platform() {
		return this.platform;
	}

	public ManagedProcess vmList() {
		return this.vmList;
	}

	/**
	 * Launch the stand-in for a model engine.
	 * @param id its id
	 * @param options further options of the stand-in
	 * @return the process
	 */
	public ManagedProcess startEngine(String id, String... options) {
		return startStandIn("EngineStandIn", id, options);
	}

	/**
	 * Launch the stand-in for a plain service.
	 * @param id its id
	 * @param options further options of the stand-in
	 * @return the process
	 */
	public ManagedProcess startPlainService(String id, String... options) {
		return startStandIn("PlainServiceStandIn", id, options);
	}

	private ManagedProcess startStandIn(String name, String id, String... options) {
		List<String> args = new ArrayList<>(List.of("--id", id));
		args.addAll(List.of(options));
		return this.harness.launch(id, STAND_IN_PACKAGE + name, args);
	}

	/**
	 * Run the command-line tool against the fleet's platform.
	 * @param command the command and its arguments
	 * @return the process, whose output can be read after it has ended
	 */
	public ManagedProcess runTool(String... command) {
		List<String> args = new ArrayList<>(List.of(command));
		args.addAll(List.of("--platform", this.platform.hostPort()));
		return this.harness.launch("acaciamux", CLI_MAIN_CLASS, args);
	}

	/**
	 * Launch a router or an agent, wait until it listens and enter it in the VM list.
	 * @param spec the daemon's role, identity and pool
	 * @return the daemon
	 */
	public Daemon start(DaemonSpec spec) {
		Daemon daemon = launch(spec);
		register(daemon);
		return daemon;
	}

	/**
	 * Launch a router or an agent without entering it in the VM list. Does not wait for
	 * it.
	 * @param spec the daemon's role, identity and pool
	 * @return the daemon
	 */
	public Daemon launch(DaemonSpec spec) {
		Path file = this.settings.resolve(spec.id() + ".yaml");
		try {
			YAML.writeValue(file.toFile(), settings(spec));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot write " + file, ex);
		}
		return new Daemon(spec,
				this.harness.launch(spec.id(), DAEMON_MAIN_CLASS, List.of("--settings", file.toString())));
	}

	/**
	 * Enter a daemon in the VM list, or replace its entry. Waits until the daemon
	 * listens.
	 * @param daemon the daemon
	 */
	public void register(Daemon daemon) {
		DaemonSpec spec = daemon.spec();
		ObjectNode entry = JsonNodeFactory.instance.objectNode()
			.put("id", spec.id())
			.put("role", spec.role())
			.put("address", "127.0.0.1")
			.put("peerPort", daemon.peerPort())
			.put("httpPort", daemon.httpPort())
			.put("region", spec.region())
			.put("failureDomain", spec.failureDomain())
			.put("pool", spec.pool())
			.put("state", "live");
		this.caller.post(this.vmList.port(), "/control/vms", entry.toString());
	}

	/**
	 * Mark a VM as leaving in the VM list.
	 * @param id the VM's id
	 */
	public void markLeaving(String id) {
		this.caller.post(this.vmList.port(), "/control/leaving", "{\"id\":\"" + id + "\"}");
	}

	/**
	 * Start or end an outage of the platform's object API.
	 * @param on whether the API refuses every call
	 */
	public void setOutage(boolean on) {
		this.caller.post(this.platform.port(), "/control/outage", "{\"on\":" + on + "}");
	}

	/**
	 * Set a limit in the settings of daemons that are launched after this call.
	 * @param name the key under {@code limits}
	 * @param value the value
	 */
	public void setLimit(String name, long value) {
		this.limits.put(name, value);
	}

	/**
	 * Wait until a daemon's admin port reports it as ready.
	 * @param daemon the daemon
	 */
	public void awaitReady(Daemon daemon) {
		try {
			Polling.await(daemon.id() + " is ready", READY_SECONDS,
					() -> this.caller.get(daemon.adminPort(), "/ready").status() == 200);
		}
		catch (IllegalStateException ex) {
			throw new IllegalStateException(daemon.id() + " is not ready; its output: " + daemon.process().output(),
					ex);
		}
	}

	/**
	 * Send probe requests until they have reached a number of different backend servers
	 * of a pool through a router.
	 * @param router the router
	 * @param pool the pool
	 * @param servers the number of backend servers
	 */
	public void awaitPool(Daemon router, String pool, int servers) {
		Set<String> seen = new HashSet<>();
		AtomicReference<Object> last = new AtomicReference<>("no answer");
		Polling.await(() -> router.id() + " reaches " + servers + " servers of " + pool + "; reached " + seen
				+ ", last answer " + last + "\n" + this.harness.describe(), READY_SECONDS, () -> {
					Answer answer = this.caller.send("GET", router.httpPort(), "/pools/" + pool + "/control/state", "",
							Map.of("Acaciamux-Chat", "probe-" + System.nanoTime()));
					last.set(answer);
					if (answer.status() == 200) {
						seen.add(answer.header("Acaciamux-Server"));
					}
					return seen.size() >= servers;
				});
	}

	/**
	 * Send a request and retry it while it gets status 502, 503 or 504. Retries send the
	 * same headers, so that a call with an idempotency key keeps its key and is safe to
	 * repeat.
	 * @param method the method
	 * @param router the router
	 * @param path the path
	 * @param body the body
	 * @param headers the headers
	 * @return the first answer with another status, or the answer to the last retry
	 */
	public Answer sendWithRetries(String method, Daemon router, String path, String body, Map<String, String> headers) {
		Answer answer = this.caller.send(method, router.httpPort(), path, body, headers);
		for (int i = 0; i < MAX_RETRIES && RETRYABLE_STATUSES.contains(answer.status()); i++) {
			Polling.pause(RETRY_DELAY_MS);
			answer = this.caller.send(method, router.httpPort(), path, body, headers);
		}
		return answer;
	}

	/**
	 * Write all records in the YAML files of a directory to the platform.
	 * @param directory the directory; each file holds one or more records
	 */
	public void writeRecords(Path directory) {
		try (Stream<Path> files = Files.list(directory)) {
			for (Path file : files.sorted().toList()) {
				try (var documents = YAML.readerFor(JsonNode.class).<JsonNode>readValues(file.toFile())) {
					while (documents.hasNext()) {
						writeRecord(documents.next());
					}
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot read the records of " + directory, ex);
		}
	}

	/**
	 * Write a record to the platform, replacing any existing version.
	 * @param yaml the record
	 * @return the new version
	 */
	public long writeRecord(String yaml) {
		try {
			return writeRecord(YAML.readTree(yaml));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the record is not valid YAML", ex);
		}
	}

	private long writeRecord(JsonNode record) {
		String path = "/v1/objects/" + record.path("kind").asText() + "/" + record.path("name").asText();
		Answer held = this.caller.get(this.platform.port(), path);
		long version = held.json().path("version").asLong();
		Answer answer = this.caller.send("PUT", this.platform.port(), path + "?ifVersion=" + version, record.toString(),
				Map.of());
		if (answer.status() != 200) {
			throw new IllegalStateException("the platform refused " + path + ": " + answer);
		}
		return answer.json().path("version").asLong();
	}

	private ObjectNode settings(DaemonSpec spec) {
		ObjectNode node = JSON.createObjectNode()
			.put("role", spec.role())
			.put("id", spec.id())
			.put("region", spec.region())
			.put("failureDomain", spec.failureDomain());
		if (spec.isRouter()) {
			putEndpoint(node, "listen");
		}
		else {
			node.putObject("agent").put("pool", spec.pool()).put("backend", spec.backend());
		}
		putEndpoint(node, "peer");
		putEndpoint(node, "admin");
		node.putObject("platform").put("objects", this.platform.hostPort()).put("vms", this.vmList.hostPort());
		node.set("limits", this.limits.deepCopy());
		return node;
	}

	private static void putEndpoint(ObjectNode node, String name) {
		node.putObject(name).put("address", "127.0.0.1").put("port", 0);
	}

	private static Path createSettingsDirectory() {
		try {
			return Files.createTempDirectory("acaciamux-fleet");
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot create a directory for settings files", ex);
		}
	}

	@Override
	public void close() {
		this.harness.close();
		try (Stream<Path> files = Files.walk(this.settings)) {
			files.sorted(java.util.Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot delete " + this.settings, ex);
		}
	}

}

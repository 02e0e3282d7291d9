import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas are processes whose answers end with their channel. One of them at a time is
 * killed and started again. No consumer may get a success with a part of a body.
 */
final class CrashInsideAnswer {

	private static final int REPLICAS = 7;

	private static final int KILLS = 5;

	private static final long DOWN_MS = 2_000;

	private static final int CONSUMERS = 24;

	private static final String KEY = "kept-key";

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	/** Whether all requests have the same path. They are refused then, which this case leaves alone. */
	private final boolean onePath = "1".equals(System.getenv("ONE_PATH"));

	private final Run run;

	private volatile boolean ended;

	private CrashInsideAnswer(Run run) {
		this.run = run;
	}

	/** One replica: its process, which is replaced when it starts again, and its port. */
	private static final class Server implements AutoCloseable {

		private final String id;

		private int port;

		private long born;

		private Process process;

		Server(String id) throws IOException {
			this.id = id;
			start();
		}

		void start() throws IOException {
			this.process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx32m",
					"-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "ReplicaProcess", this.id,
					String.valueOf(this.port))
				.redirectError(ProcessBuilder.Redirect.DISCARD)
				.start();
			Routers.endWithThisProcess(this.process);
			String line = new BufferedReader(new InputStreamReader(this.process.getInputStream())).readLine();
			if (line == null) {
				throw new IOException("replica " + this.id + " did not start");
			}
			this.port = Integer.parseInt(line);
			this.born = System.currentTimeMillis();
		}

		Map<String, Object> entry() {
			Map<String, Object> entry = new LinkedHashMap<>();
			entry.put("service", "menu");
			entry.put("addr", "127.0.0.1:" + this.port);
			entry.put("zone", "zone-a");
			entry.put("version", "v1");
			entry.put("slots", 6L);
			entry.put("state", "ready");
			entry.put("cold_left_ms", 0L);
			entry.put("seq_no", 1L);
			entry.put("born", this.born);
			return entry;
		}

		@Override
		public void close() {
			this.process.destroyForcibly();
			this.process.onExit().join();
		}

	}

	public static void main(String[] args) throws Exception {
		List<Server> servers = new ArrayList<>();
		try (Run run = new Run(Path.of(args[1]));
				Store store = new Store(run);
				Routers routers = new Routers(run, Path.of(args[0]))) {
			int code;
			try {
				code = new CrashInsideAnswer(run).play(store, routers, servers);
			}
			catch (IOException ex) {
				run.log("the case could not run: " + ex);
				code = 2;
			}
			routers.close();
			servers.forEach(Server::close);
			System.exit(code);
		}
	}

	private int play(Store store, Routers routers, List<Server> servers) throws IOException {
		store.put("config", "main", Config.of(1, "idempotent", 800, List.of("menu"), List.of(KEY)));
		for (int i = 0; i < REPLICAS; i++) {
			Server server = new Server("i-menu-" + i);
			servers.add(server);
			store.put("servers", server.id, server.entry());
		}
		for (int i = 0; i < 2; i++) {
			routers.start("edge-" + i, store.address());
		}
		routers.awaitReady();
		Run.sleep(3_000);
		for (int i = 0; i < CONSUMERS; i++) {
			Routers.Router router = routers.all.get(i % routers.all.size());
			Run.background("consumer", () -> consume(router));
		}
		Run.sleep(2_000);
		for (int i = 0; i < KILLS; i++) {
			Server server = servers.get(i);
			if (this.run.trouble) {
				server.close();
				this.run.log("replica " + server.id + " is killed");
			}
			Run.sleep(DOWN_MS);
			if (this.run.trouble) {
				server.start();
				store.put("servers", server.id, server.entry());
				this.run.log("replica " + server.id + " has started again");
			}
			Run.sleep(2_000);
		}
		this.ended = true;
		Run.sleep(2_000);
		this.run.log("whole answers " + this.whole + ", other answers " + this.failed + ", incomplete successes "
				+ this.run.violations());
		return this.run.verdict("MIXED");
	}

	private void consume(Routers.Router router) {
		while (!this.ended) {
			String attempt = Client.newAttempt();
			try (Client client = new Client(router.front())) {
				Http.Message answer = client.call("GET", this.onePath ? "/menu/2f" : "/menu/" + attempt, attempt, KEY, 1_500, "", new byte[0]);
				judge(attempt, router, answer);
			}
			catch (IOException ex) {
				this.failed.incrementAndGet();
				this.run.log("client: " + attempt + " to " + router.name() + ": " + ex);
			}
			Run.sleep(5);
		}
	}

	private void judge(String attempt, Routers.Router router, Http.Message answer) {
		if (answer == null || answer.status() != 200) {
			this.failed.incrementAndGet();
			this.run.log("client: " + attempt + " to " + router.name() + " gets "
					+ ((answer == null) ? "a closed channel" : answer.start()));
			return;
		}
		if (answer.text().equals(ReplicaProcess.body(attempt))) {
			this.whole.incrementAndGet();
			return;
		}
		this.run.violation(attempt + " through " + router.name() + " gets " + answer.start() + " with Content-Length "
				+ answer.header("Content-Length") + " and " + answer.body().length + " of "
				+ ReplicaProcess.body(attempt).length() + " bytes");
	}

}

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A replica crashes and starts again under its id. Later, while the store is silent, it
 * leaves and says so in all its answers. A router that has passed on such an answer must
 * not send it requests that come later than the drain bound.
 */
final class LeavingAfterRestart {

	private static final long CRASHED_MS = 400;

	/** Time from the start of a replica to its status report. */
	private static final long REPORT_MS = 1_100;

	private static final long STORE_SILENT_MS = 4_500;

	private static final long DRAIN_MS = 2_000;

	private static final String KEY = "kept-key";

	/** When each attempt was sent, and to which router. */
	private final Map<String, Sent> sent = new ConcurrentHashMap<>();

	/** When each router first passed on an answer with the announcement. */
	private final Map<String, Long> told = new ConcurrentHashMap<>();

	private final Run run;

	private final Store store;

	private final Routers routers;

	private volatile boolean ended;

	private LeavingAfterRestart(Run run, Store store, Routers routers) {
		this.run = run;
		this.store = store;
		this.routers = routers;
	}

	private record Sent(String router, long at) {
	}

	public static void main(String[] args) throws Exception {
		try (Run run = new Run(Path.of(args[1]));
				Store store = new Store(run);
				Routers routers = new Routers(run, Path.of(args[0]))) {
			int code;
			try {
				code = new LeavingAfterRestart(run, store, routers).play();
			}
			catch (IOException ex) {
				run.log("the case could not run: " + ex);
				code = 2;
			}
			routers.close();
			System.exit(code);
		}
	}

	private int play() throws IOException {
		this.store.put("config", "main", Config.of(1, "non_idempotent", 800, List.of("charge"), List.of(KEY)));
		List<Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			replicas.add(new Replica(this.run, "i-charge-" + i, "charge", this::reached));
		}
		replicas.forEach((replica) -> this.store.put("servers", replica.id, replica.entry("ready")));
		for (int i = 0; i < 2; i++) {
			this.routers.start("edge-" + i, this.store.address());
		}
		this.routers.awaitReady();
		Run.sleep(3_000);
		for (Routers.Router router : this.routers.all) {
			Run.background("consumer", () -> consume(router));
		}
		Run.sleep(2_000);
		Replica replica = replicas.get(0);
		if (this.run.trouble) {
			replica.crash();
			Run.sleep(CRASHED_MS);
			replica.restart();
			Run.sleep(REPORT_MS);
			this.store.put("servers", replica.id, replica.entry("ready"));
			this.run.log("replica " + replica.id + " has reported its new start to the store");
			Run.sleep(3_000);
			this.store.fallSilent();
			this.run.log("store: silent");
			Run.sleep(300);
		}
		replica.leave();
		if (this.run.trouble) {
			Run.sleep(STORE_SILENT_MS - 300);
			this.store.comeBack();
			this.run.log("store: answers again");
		}
		this.store.put("servers", replica.id, replica.entry("draining"));
		this.run.log("replica " + replica.id + " has reported that it is draining");
		Run.sleep(DRAIN_MS + 1_500);
		replica.crash();
		this.run.log("replica " + replica.id + " has ended");
		this.store.remove("servers", replica.id);
		Run.sleep(1_000);
		this.ended = true;
		Run.sleep(1_000);
		this.routers.recordLogs("server-leaving|store-|server-entry|" + replica.id + "@");
		return this.run.verdict("DRAIN");
	}

	private void reached(Replica replica, Http.Message request, boolean leaving) {
		if (!leaving) {
			return;
		}
		String attempt = request.header("X-Acaciamux-Attempt-Id");
		Sent request0 = this.sent.get(attempt);
		Long toldAt = this.told.get(request0.router());
		if (toldAt != null && request0.at() > toldAt + DRAIN_MS) {
			this.run.violation(attempt + " reaches the leaving " + replica.id + ", sent to " + request0.router() + " "
					+ (request0.at() - toldAt) + " ms after it had passed on Server-Leaving");
		}
	}

	private void consume(Routers.Router router) {
		while (!this.ended) {
			try (Client client = new Client(router.front())) {
				while (!this.ended) {
					String attempt = Client.newAttempt();
					this.sent.put(attempt, new Sent(router.name(), this.run.ms()));
					Http.Message answer = client.call("POST", "/charge/2f", attempt, KEY, 1_500, "", new byte[600]);
					if (answer == null) {
						this.run.log("client: " + attempt + " to " + router.name() + " gets a closed channel");
						break;
					}
					if (answer.header("Server-Leaving").equals("1") && this.told.putIfAbsent(router.name(), this.run.ms()) == null) {
						this.run.log("client: " + attempt + " gets an answer with Server-Leaving through " + router.name());
					}
					if (answer.status() != 200) {
						this.run.log("client: " + attempt + " to " + router.name() + " gets " + answer.start());
					}
					Run.sleep(15);
				}
			}
			catch (IOException ex) {
				this.run.log("client at " + router.name() + ": " + ex);
				Run.sleep(100);
			}
		}
	}

}

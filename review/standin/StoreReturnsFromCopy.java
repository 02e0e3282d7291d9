import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store is silent for a moment and comes back from a copy that is some seconds old.
 * The operator writes its newest desired state again, and then the next one, which takes
 * a key away. The key must not be served later than the bound of desired states.
 */
final class StoreReturnsFromCopy {

	private static final long CONTACT_MS = 3_000;

	private static final long CONFIG_MS = 2_000;

	private static final long AWAY_MS = 1_000;

	private static final long WATCHED_MS = 12_000;

	private static final String KEPT = "kept-key";

	private static final String WITHDRAWN = "withdrawn-key";

	private final Map<String, String> runs = new ConcurrentHashMap<>();

	private final Run run;

	private final Store store;

	private final Routers routers;

	private StoreReturnsFromCopy(Run run, Store store, Routers routers) {
		this.run = run;
		this.store = store;
		this.routers = routers;
	}

	public static void main(String[] args) throws Exception {
		try (Run run = new Run(Path.of(args[1]));
				Store store = new Store(run);
				Routers routers = new Routers(run, Path.of(args[0]))) {
			int code;
			try {
				code = new StoreReturnsFromCopy(run, store, routers).play();
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
		write(1, List.of(KEPT, WITHDRAWN));
		List<Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			replicas.add(new Replica(this.run, "i-menu-" + i, "menu",
					(replica, request, leaving) -> this.runs.put(request.header("X-Acaciamux-Attempt-Id"), replica.id)));
		}
		replicas.forEach((replica) -> this.store.put("servers", replica.id, replica.entry("ready")));
		for (int i = 0; i < 4; i++) {
			this.routers.start("edge-" + i, this.store.address());
		}
		this.routers.awaitReady();
		Run.sleep(5_000);
		ask(KEPT, 200);
		ask(WITHDRAWN, 200);

		Store.Copy copy = this.store.copy();
		this.run.log("store: a copy is taken at revision " + copy.revision());
		Run.sleep(1_000);
		write(2, List.of(KEPT, WITHDRAWN));
		Run.sleep(1_000);
		write(3, List.of(KEPT, WITHDRAWN));
		Run.sleep(1_000);
		if (this.run.trouble) {
			this.run.log("store: silent from revision " + this.store.revision());
			this.store.fallSilent();
			Run.sleep(AWAY_MS);
			this.store.comeBack(copy);
			this.run.log("store: back from the copy, revision " + this.store.revision());
			write(3, List.of(KEPT, WITHDRAWN));
		}
		else {
			Run.sleep(AWAY_MS);
		}
		write(4, List.of(KEPT));
		Run.sleep(Math.max(CONTACT_MS, CONFIG_MS) + 500);
		long end = this.run.ms() + WATCHED_MS;
		while (this.run.ms() < end) {
			ask(KEPT, 200);
			ask(WITHDRAWN, 401);
			Run.sleep(500);
		}
		this.routers.recordLogs("config-in-force|store-");
		return this.run.verdict("CONFIG");
	}

	private void write(long version, List<String> keys) {
		long revision = this.store.put("config", "main", Config.of(version, "idempotent", 800 + version, List.of("menu"), keys));
		this.run.log("operator: version " + version + " with keys " + keys + " acknowledged, revision " + revision);
	}

	// Asks each router once. A run with the withdrawn key is a violation if 401 is due.
	private void ask(String key, int due) throws IOException {
		for (Routers.Router router : this.routers.all) {
			String attempt = Client.newAttempt();
			try (Client client = new Client(router.front())) {
				Http.Message answer = client.call("GET", "/menu/2f", attempt, key, 1_500, "", new byte[0]);
				String got = (answer == null) ? "no answer" : String.valueOf(answer.status());
				String ranAt = this.runs.get(attempt);
				this.run.log("client: " + attempt + " with " + key + " to " + router.name() + " gets " + got + ", ran at "
						+ ranAt);
				if (due == 401 && ranAt != null) {
					this.run.violation("router " + router.name() + " passed on " + attempt + " with a key that was withdrawn");
				}
			}
		}
	}

}

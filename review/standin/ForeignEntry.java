import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Another writer puts an entry that names no replica among those of the replicas. Then
 * all routers are killed and start again. Requests that are sent later than the bound of
 * recovery must be served.
 */
final class ForeignEntry {

	private static final long RECOVER_MS = 12_000;

	/** Depth of the list in the field; the entry has about 2 KB. */
	private static final int DEPTH = 950;

	private static final String KEY = "kept-key";

	private final Set<String> runs = ConcurrentHashMap.newKeySet();

	private final Run run;

	private ForeignEntry(Run run) {
		this.run = run;
	}

	public static void main(String[] args) throws Exception {
		try (Run run = new Run(Path.of(args[1]));
				Store store = new Store(run);
				Routers first = new Routers(run, Path.of(args[0]));
				Routers second = new Routers(run, Path.of(args[0]))) {
			int code;
			try {
				code = new ForeignEntry(run).play(store, first, second);
			}
			catch (IOException ex) {
				run.log("the case could not run: " + ex);
				code = 2;
			}
			first.close();
			second.close();
			System.exit(code);
		}
	}

	private int play(Store store, Routers first, Routers second) throws IOException {
		store.put("config", "main", Config.of(1, "idempotent", 800, List.of("menu"), List.of(KEY)));
		List<Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			Replica replica = new Replica(this.run, "i-menu-" + i, "menu",
					(server, request, leaving) -> this.runs.add(request.header("X-Acaciamux-Attempt-Id")));
			replicas.add(replica);
			store.put("servers", replica.id, replica.entry("ready"));
		}
		for (int i = 0; i < 3; i++) {
			first.start("edge-" + i, store.address());
		}
		first.awaitReady();
		Run.sleep(4_000);
		double before = served(first, 30);
		if (this.run.trouble) {
			Map<String, Object> entry = new LinkedHashMap<>(replicas.get(0).entry("ready"));
			spoil(entry);
			store.put("servers", "i-foreign", entry);
			this.run.log("another writer has put servers/i-foreign");
		}
		Run.sleep(3_000);
		this.run.log("served after the entry: " + served(first, 30));
		first.recordLogs("store-|server-entry");
		first.close();
		this.run.log("all routers are killed");
		Run.sleep(1_000);
		for (int i = 0; i < 3; i++) {
			second.start("edge-" + i, store.address());
		}
		Run.sleep(RECOVER_MS + 500);
		double after = served(second, 60);
		this.run.log("served before " + before + ", later than recover_s after the start " + after);
		if (before >= 0.25 && after < 0.25) {
			this.run.violation("of the requests after the recovery " + after + " are served, before " + before);
		}
		second.recordLogs("store-|server-entry|config-in");
		return this.run.verdict("RECOVER");
	}

	// A slots field that is a list of lists, by default.
	private static void spoil(Map<String, Object> entry) {
		switch (System.getenv().getOrDefault("VARIANT", "nested")) {
			case "digits" -> entry.put("slots", new BigInteger("9".repeat(1_100)));
			case "bytes" -> entry.put("service", Json.UNREADABLE);
			default -> {
				Object nested = List.of();
				for (int i = 0; i < DEPTH; i++) {
					nested = List.of(nested);
				}
				entry.put("slots", nested);
			}
		}
	}

	private double served(Routers routers, int requests) {
		int served = 0;
		for (int i = 0; i < requests; i++) {
			Routers.Router router = routers.all.get(i % routers.all.size());
			String attempt = Client.newAttempt();
			String got;
			try (Client client = new Client(router.front())) {
				Http.Message answer = client.call("GET", "/menu/2f", attempt, KEY, 1_500, "", new byte[0]);
				got = (answer == null) ? "a closed channel" : String.valueOf(answer.status());
				served += (answer != null && answer.status() == 200) ? 1 : 0;
			}
			catch (IOException ex) {
				got = ex.toString();
			}
			this.run.log("client: " + attempt + " to " + router.name() + " gets " + got + ", ran "
					+ this.runs.contains(attempt));
		}
		return served / (double) requests;
	}

}

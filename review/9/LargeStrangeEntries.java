import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts some large entries into the list of replicas, each within the
 * store's limit. All routers are killed later and have to read the list again.
 */
final class LargeStrangeEntries {

	private static final String CONFIG = """
			{"version":7,"routes":[{"name":"menu-read","host":"kiosk.example","path_prefix":"/menu/",
			"route_kind":"idempotent","timeout_ms":1500,"goal_ms":193,"priority":2,"service":"order-app",
			"max_attempts":2,"anonymous":false,"sticky":false,"resumable":false,"gap_goal_ms":0}],
			"services":[{"name":"order-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
			"idle_timeout_ms":15000},"tenants":[{"name":"haixian","api_keys":["k1"],"priority":1}]}""";

	private static final int ENTRIES = Integer.getInteger("entries", 5);

	/** Below the value_bytes of the store, 1,048,576. */
	private static final int ENTRY_BYTES = 1_000_000;

	private static final int WORK_MS = 43;

	private static final int TIME_LIMIT_MS = 1_500;

	private static final int CONSUMERS = 12;

	private static final int RECOVER_MS = 12_000;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private volatile boolean stopped;

	public static void main(String[] args) throws Exception {
		System.exit(new LargeStrangeEntries().run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE"))));
	}

	private int run(Path folder, boolean trouble) throws Exception {
		Path temporary = Files.createTempDirectory("review-9-");
		List<AutoCloseable> resources = new ArrayList<>();
		try (Record record = new Record(folder.resolve("record.txt"))) {
			try {
				return play(record, temporary, trouble, resources);
			}
			finally {
				this.stopped = true;
				for (AutoCloseable each : resources) {
					each.close();
				}
			}
		}
	}

	private int play(Record record, Path temporary, boolean trouble, List<AutoCloseable> resources) throws Exception {
		Store store = new Store();
		resources.add(store);
		store.put("config", "main", CONFIG);
		for (int i = 0; i < 4; i++) {
			resources.add(new Replica("i-" + i, new Replica.Options("order-app", "zone-" + i % 2, 6, WORK_MS), store,
					record));
		}
		List<Router> routers = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			routers.add(new Router("edge-" + i, "zone-" + i, store.port(), temporary));
		}
		resources.addAll(routers);
		for (Router router : routers) {
			if (!router.awaitReady(15_000)) {
				record.say("a router is not ready");
				return 2;
			}
		}
		for (int i = 0; i < CONSUMERS; i++) {
			int number = i;
			Thread thread = new Thread(() -> consume(number, routers.get(number % 2), record), "consumer");
			thread.setDaemon(true);
			thread.start();
		}
		int[] first = count(5_000);
		record.say("first 5 s: sent=" + first[0] + " served=" + first[1]);
		if (2 * first[1] < first[0]) {
			record.say("too few requests were served before the disruption");
			return 2;
		}
		if (trouble) {
			Object spec = Json.read(samples());
			for (int i = 0; i < ENTRIES; i++) {
				store.put("servers", "x-" + i, spec);
				Thread.sleep(500);
			}
			record.say("another writer has put " + ENTRIES + " entries of " + ENTRY_BYTES + " bytes");
		}
		int[] second = count(5_000);
		record.say("next 5 s: sent=" + second[0] + " served=" + second[1]);
		record.say("final fault: all routers are killed");
		for (Router router : routers) {
			router.kill();
		}
		Thread.sleep(1_000);
		for (Router router : routers) {
			router.start();
		}
		record.say("the routers are started again");
		Thread.sleep(RECOVER_MS);
		int[] after = count(10_000);
		for (Router router : routers) {
			record.say(router.id() + " runs=" + router.alive() + " ready=" + router.ready());
		}
		boolean broken = 4 * after[1] < after[0];
		record.say("later than recover_s after the start: sent=" + after[0] + " served=" + after[1] + "; RECOVER "
				+ (broken ? "broken" : "held"));
		return broken ? 1 : 0;
	}

	// A time series, which is no replica: all fields of one are missing.
	private static String samples() {
		StringBuilder text = new StringBuilder("{\"samples\":[{\"v\":0}");
		for (int i = 1; text.length() < ENTRY_BYTES - 20; i++) {
			text.append(",{\"v\":").append(i % 10).append('}');
		}
		return text.append("]}").toString();
	}

	private int[] count(int ms) throws InterruptedException {
		int[] from = { this.sent.get(), this.served.get() };
		Thread.sleep(ms);
		return new int[] { this.sent.get() - from[0], this.served.get() - from[1] };
	}

	private void consume(int number, Router router, Record record) {
		Consumer consumer = new Consumer(router);
		for (int i = 0; !this.stopped; i++) {
			String attempt = "c" + number + "-" + i;
			this.sent.incrementAndGet();
			record.line("sent attempt=" + attempt + " GET /menu/" + attempt);
			try {
				Http.Message answer = consumer.call("GET /menu/" + attempt + " HTTP/1.1",
						Map.of("Host", "kiosk.example", "X-Acaciamux-Attempt-Id", attempt, "X-Acaciamux-Key", "k1"),
						new byte[0], TIME_LIMIT_MS);
				record.line("answer attempt=" + attempt + " status=" + answer.status());
				this.served.addAndGet((answer.status() == 200) ? 1 : 0);
			}
			catch (IOException ex) {
				record.line("no answer attempt=" + attempt + " " + ex.getMessage());
			}
			try {
				Thread.sleep(100);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}

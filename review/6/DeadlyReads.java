import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One consumer's read crashes each replica that begins to run it, and comes again. Other
 * consumers of the same tenant, with other keys, read the same path, which crashes
 * nothing. Counts how often the deadly read still reaches a replica later than contact_ms
 * after its third crash, and the charges that are lost in the crashes.
 */
final class DeadlyReads {

	private static final String CONFIG = """
			{"version":7,"routes":[{"name":"menu-read","host":"kiosk.example","path_prefix":"/menu/",
			"route_kind":"idempotent","timeout_ms":1500,"goal_ms":193,"priority":2,"service":"order-app",
			"max_attempts":2,"anonymous":false,"sticky":false,"resumable":false,"gap_goal_ms":0},
			{"name":"kiosk-charge","host":"kiosk.example","path_prefix":"/charge/","route_kind":"non_idempotent",
			"timeout_ms":1500,"goal_ms":193,"priority":2,"service":"order-app","max_attempts":1,"anonymous":false,
			"sticky":false,"resumable":false,"gap_goal_ms":0}],
			"services":[{"name":"order-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
			"idle_timeout_ms":15000},"tenants":[{"name":"haixian","api_keys":["k1","k2","k17"],"priority":1}]}""";

	private static final int REPLICAS = 4;

	private static final int DOWN_MS = 3_000;

	private static final int WORK_MS = 43;

	private static final int TIME_LIMIT_MS = 1_500;

	private static final int CONTACT_MS = 3_000;

	/** Arrivals after contact_ms that the rule admits. */
	private static final int RETRIES = 3;

	private final List<Long> arrivals = new ArrayList<>();

	private final List<Long> crashes = new ArrayList<>();

	private final AtomicInteger chargesLost = new AtomicInteger();

	private final AtomicInteger readsSent = new AtomicInteger();

	private final AtomicInteger readsServed = new AtomicInteger();

	private final AtomicInteger chargesServed = new AtomicInteger();

	private volatile boolean stopped;

	public static void main(String[] args) throws Exception {
		System.exit(new DeadlyReads().run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE"))));
	}

	private int run(Path folder, boolean trouble) throws Exception {
		Path temporary = Files.createTempDirectory("review-6-");
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
		AtomicBoolean deadly = new AtomicBoolean(false);
		for (int i = 0; i < REPLICAS; i++) {
			int number = i;
			daemon(() -> keepRunning(number, store, record, deadly));
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
		for (int i = 0; i < 8; i++) {
			int number = i;
			daemon(() -> read("reader-" + number, "k" + (1 + number % 2), routers.get(number % 2), 100, record));
			daemon(() -> charge("till-" + number, routers.get(number % 2), record));
		}
		Thread.sleep(4_000);
		if (this.chargesServed.get() == 0) {
			record.say("no charge was served before the disruption");
			return 2;
		}
		record.say("first 4 s: charges served=" + this.chargesServed + " lost=" + this.chargesLost);
		this.chargesLost.set(0);
		deadly.set(trouble);
		record.say("kiosk-17 begins to read" + (trouble ? ", which crashes the replica that runs it" : ""));
		daemon(() -> read("kiosk-17", "k17", routers.get(0), 1_000, record));

		Thread.sleep(30_000);
		int sentBefore = this.readsSent.get();
		int servedBefore = this.readsServed.get();
		Thread.sleep(10_000);
		record.say("reads of the other consumers in the last 10 s: sent=" + (this.readsSent.get() - sentBefore)
				+ " served=" + (this.readsServed.get() - servedBefore));
		this.stopped = true;
		Thread.sleep(TIME_LIMIT_MS);
		return judge(record);
	}

	private synchronized int judge(Record record) {
		long later = 0;
		if (this.crashes.size() >= 3) {
			long from = this.crashes.get(2) + CONTACT_MS;
			later = this.arrivals.stream().filter((at) -> at > from).count();
		}
		boolean broken = later > RETRIES;
		record.say("replicas crashed=" + this.crashes.size() + " arrivals of the deadly read later than contact_ms "
				+ "after its third crash=" + later + " charges lost=" + this.chargesLost + " served="
				+ this.chargesServed + "; BUDGET " + (broken ? "broken" : "held"));
		return broken ? 1 : 0;
	}

	private void keepRunning(int number, Store store, Record record, AtomicBoolean deadly) {
		try {
			for (int lifetime = 0; !this.stopped; lifetime++) {
				Replica replica = new Replica("i-" + number + "-" + lifetime,
						new Replica.Options("order-app", "zone-" + number % 2, 6, WORK_MS), store, record,
						(request) -> deadly.get() && crashes(request, record));
				while (!replica.ended() && !this.stopped) {
					Thread.sleep(20);
				}
				Thread.sleep(DOWN_MS);
			}
		}
		catch (IOException ex) {
			record.say("a replica cannot start: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized boolean crashes(Http.Message request, Record record) {
		if (!"17".equals(request.header("x-kiosk"))) {
			return false;
		}
		this.arrivals.add(record.ms());
		this.crashes.add(record.ms());
		return true;
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "case");
		thread.setDaemon(true);
		thread.start();
	}

	private void read(String caller, String key, Router router, int pauseMs, Record record) {
		Map<String, String> headers = Map.of("X-Kiosk", caller.substring(caller.indexOf('-') + 1));
		loop(caller + "-" + router.id(), "GET /menu/board HTTP/1.1", key, headers, router, pauseMs, record);
	}

	private void charge(String caller, Router router, Record record) {
		loop(caller, "POST /charge/pay HTTP/1.1", "k1", Map.of(), router, 50, record);
	}

	private void loop(String caller, String line, String key, Map<String, String> more, Router router, int pauseMs,
			Record record) {
		Consumer consumer = new Consumer(router);
		boolean charges = line.startsWith("POST");
		for (int i = 0; !this.stopped; i++) {
			String attempt = caller + "-" + i;
			Map<String, String> headers = new LinkedHashMap<>(more);
			headers.put("Host", "kiosk.example");
			headers.put("X-Acaciamux-Attempt-Id", attempt);
			headers.put("X-Acaciamux-Key", key);
			byte[] body = charges ? ("{\"order\":\"" + attempt + "\"}").getBytes() : new byte[0];
			record.line("sent attempt=" + attempt + " " + line);
			int status = 0;
			try {
				status = consumer.call(line, headers, body, TIME_LIMIT_MS).status();
				record.line("answer attempt=" + attempt + " status=" + status);
			}
			catch (IOException ex) {
				record.line("no answer attempt=" + attempt + " " + ex.getMessage());
			}
			if (caller.startsWith("reader")) {
				this.readsSent.incrementAndGet();
				this.readsServed.addAndGet((status == 200) ? 1 : 0);
			}
			if (charges && status == 200) {
				this.chargesServed.incrementAndGet();
			}
			// A refusal promises that the charge has not run, so it is not lost.
			if (charges && status != 200 && status != 503) {
				this.chargesLost.incrementAndGet();
			}
			try {
				Thread.sleep(pauseMs);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}

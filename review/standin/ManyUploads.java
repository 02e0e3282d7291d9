import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send requests with bodies of 144,000 bytes at the rate of a burst, beside
 * consumers with short requests. Requests that have been sent whole must have a final
 * answer, or the end of their channel, by half a second after their route's timeout.
 */
final class ManyUploads {

	private static final int BODY_BYTES = 144_000;

	private static final int SHORT_BYTES = 600;

	/** Rate of a zone of the site, 62.2 requests a second, times the burst of 1.7. */
	private static final int UPLOADS_PER_S = 106;

	private static final int PIECES = 66;

	private static final int PIECE_PAUSE_MS = 100;

	/** Uploads that last 6.6 s at that rate. */
	private static final int UPLOADERS = 700;

	private static final int SHORT_CONSUMERS = 20;

	private static final long UPLOADS_START_MS = 5_000;

	private static final long PLAYED_MS = 40_000;

	private static final int TIMEOUT_MS = 5_000;

	private static final int SLACK_MS = 500;

	/** Unanswered requests from which on the rule is broken. */
	private static final int MIN_UNANSWERED = 8;

	private static final String KEY = "kept-key";

	private final Set<String> runs = ConcurrentHashMap.newKeySet();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger closed = new AtomicInteger();

	private final AtomicInteger closedAfterRun = new AtomicInteger();

	/** Requests that were sent whole and had not ended at their route's timeout. */
	private final AtomicInteger late = new AtomicInteger();

	/** Those that had not ended half a second later either. */
	private final AtomicInteger unanswered = new AtomicInteger();

	private final Run run;

	private ManyUploads(Run run) {
		this.run = run;
	}

	public static void main(String[] args) throws Exception {
		try (Run run = new Run(Path.of(args[1]));
				Store store = new Store(run);
				Routers routers = new Routers(run, Path.of(args[0]))) {
			int code;
			try {
				code = new ManyUploads(run).play(store, routers);
			}
			catch (IOException ex) {
				run.log("the case could not run: " + ex);
				code = 2;
			}
			routers.close();
			System.exit(code);
		}
	}

	private int play(Store store, Routers routers) throws IOException, InterruptedException {
		store.put("config", "main", Config.of(1, "non_idempotent", TIMEOUT_MS, List.of("charge"), List.of(KEY)));
		for (int i = 0; i < 4; i++) {
			Replica replica = new Replica(this.run, "i-charge-" + i, "charge",
					(server, request, leaving) -> this.runs.add(request.header("X-Acaciamux-Attempt-Id")));
			replica.workMs = 60;
			store.put("servers", replica.id, replica.entry("ready"));
		}
		Routers.Router router = routers.start("edge-0", store.address());
		routers.awaitReady();
		Run.sleep(3_000);
		int consumers = SHORT_CONSUMERS + (this.run.trouble ? UPLOADERS : 0);
		CountDownLatch ended = new CountDownLatch(consumers);
		long end = this.run.ms() + PLAYED_MS;
		for (int i = 0; i < consumers; i++) {
			boolean uploads = i >= SHORT_CONSUMERS;
			byte[] body = new byte[uploads ? BODY_BYTES : SHORT_BYTES];
			long startMs = uploads ? UPLOADS_START_MS + (i - SHORT_CONSUMERS) * 1_000L / UPLOADS_PER_S : 0;
			Run.background("consumer-" + i, () -> {
				Run.sleep(startMs);
				while (this.run.ms() < end && router.process().isAlive()) {
					consume(router, body, end);
				}
				ended.countDown();
			});
		}
		ended.await();
		this.run.log("the router " + (router.process().isAlive() ? "runs" : "has ended by itself with "
				+ router.process().exitValue()) + " and is " + (routers.isReady(router) ? "" : "not ") + "ready");
		this.run.log("answered " + this.answered + ", channel closed instead " + this.closed + ", of these ran "
				+ this.closedAfterRun + ", not ended at the timeout " + this.late + ", not ended half a second later "
				+ this.unanswered);
		if (this.unanswered.get() >= MIN_UNANSWERED && 2 * this.unanswered.get() > this.late.get()) {
			this.run.violation(this.unanswered + " of " + this.late
					+ " requests that lasted longer than their route's timeout had no answer half a second after it");
		}
		routers.recordLogs("OutOfMemory|periodic-task|Exception");
		return this.run.verdict("CONFIG");
	}

	// Uses one channel until the router closes it, leaves a request unanswered, or the
	// traffic ends.
	private void consume(Routers.Router router, byte[] body, long end) {
		String attempt = "";
		try (Client client = new Client(router.front())) {
			client.pieces = PIECES;
			client.pauseMs = PIECE_PAUSE_MS;
			while (this.run.ms() < end) {
				attempt = Client.newAttempt();
				client.send("POST", "/charge/2f", attempt, KEY, 3 * TIMEOUT_MS, "", body);
				if (!await(client, attempt, body.length)) {
					return;
				}
				Run.sleep(10);
			}
		}
		catch (IOException ex) {
			ended(attempt);
			Run.sleep(200);
		}
	}

	// Returns whether the channel can be used again.
	private boolean await(Client client, String attempt, int length) throws IOException {
		boolean overdue = false;
		while (true) {
			try {
				Http.Message answer = client.receive(overdue ? SLACK_MS : TIMEOUT_MS);
				if (answer == null) {
					ended(attempt);
					return false;
				}
				this.answered.incrementAndGet();
				return true;
			}
			catch (SocketTimeoutException ex) {
				if (overdue) {
					this.unanswered.incrementAndGet();
					this.run.log("client: " + attempt + " of " + length + " bytes was sent whole and has no answer "
							+ (TIMEOUT_MS + SLACK_MS) + " ms later, ran " + this.runs.contains(attempt));
					return false;
				}
				this.late.incrementAndGet();
				overdue = true;
			}
		}
	}

	private void ended(String attempt) {
		this.closed.incrementAndGet();
		if (this.runs.contains(attempt)) {
			this.closedAfterRun.incrementAndGet();
		}
	}

}

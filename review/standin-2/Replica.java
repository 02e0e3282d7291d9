import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * One lifetime of a replica of a plain service. It answers 421 to requests for another
 * replica, 503 to those beyond its queue, and runs the others. Thread-safe.
 */
final class Replica implements AutoCloseable {

	private static final int HEARTBEAT_MS = 1_200;

	/** Status reports of which a silent replica's entry outlives this many. */
	private static final int MISSED_REPORTS = 3;

	/** Waiting requests for each slot. */
	private static final int QUEUE = 4;

	private static final int BACKLOG = 50;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger waiting = new AtomicInteger();

	private final AtomicInteger running = new AtomicInteger();

	private final long born = System.currentTimeMillis();

	private final ServerSocket listener;

	private final Semaphore free;

	private final Options options;

	private final String id;

	private final Store store;

	private final Record record;

	/** Requests that crash the replica when it begins to run them. */
	private final Predicate<Http.Message> deadly;

	private volatile boolean ended;

	private volatile boolean dark;

	/**
	 * @param service its service
	 * @param zone its zone
	 * @param slots requests that it runs at once
	 * @param workMs how long it runs each
	 */
	record Options(String service, String zone, int slots, int workMs) {
	}

	Replica(String id, Options options, Store store, Record record) throws IOException {
		this(id, options, store, record, (request) -> false);
	}

	Replica(String id, Options options, Store store, Record record, Predicate<Http.Message> deadly)
			throws IOException {
		this.deadly = deadly;
		this.id = id;
		this.options = options;
		this.store = store;
		this.record = record;
		this.free = new Semaphore(options.slots());
		this.listener = new ServerSocket(Ports.free(), BACKLOG, InetAddress.getLoopbackAddress());
		daemon(this::accept);
		daemon(this::report);
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "replica");
		thread.setDaemon(true);
		thread.start();
	}

	String id() {
		return this.id;
	}

	boolean ended() {
		return this.ended;
	}

	int running() {
		return this.running.get();
	}

	private void report() {
		try {
			for (long sequence = 1; !this.ended && !this.dark; sequence++) {
				Map<String, Object> entry = new LinkedHashMap<>();
				entry.put("service", this.options.service());
				entry.put("addr", "127.0.0.1:" + this.listener.getLocalPort());
				entry.put("zone", this.options.zone());
				entry.put("version", "v1");
				entry.put("slots", (long) this.options.slots());
				entry.put("state", "ready");
				entry.put("cold_left_ms", 0L);
				entry.put("born", this.born);
				entry.put("seq_no", sequence);
				this.store.put("servers", this.id, entry);
				Thread.sleep(HEARTBEAT_MS);
			}
			// The store drops the entry of a silent replica.
			Thread.sleep((MISSED_REPORTS - 1) * HEARTBEAT_MS);
			this.store.remove("servers", this.id);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept() {
		while (!this.ended) {
			try {
				Socket socket = this.listener.accept();
				this.connections.add(socket);
				if (this.dark) {
					return;
				}
				daemon(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		try (Socket socket = accepted) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
				answer(request, out);
			}
		}
		catch (IOException ex) {
			// The router has closed the connection, or the replica has crashed.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connections.remove(accepted);
		}
	}

	private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
		Map<String, String> headers = new LinkedHashMap<>();
		String attempt = request.header("x-acaciamux-attempt-id");
		if (attempt != null) {
			headers.put("X-Acaciamux-Attempt-Id", attempt);
		}
		String expected = request.header("x-acaciamux-expect-replica");
		if (expected != null && !expected.equals(this.id)) {
			headers.put("X-Acaciamux-Replica-Id", this.id);
			send(out, 421, headers, new byte[0]);
			return;
		}
		if (this.waiting.incrementAndGet() > QUEUE * this.options.slots()) {
			this.waiting.decrementAndGet();
			headers.put("X-Acaciamux-Not-Executed", "1");
			send(out, 503, headers, new byte[0]);
			return;
		}
		this.free.acquire();
		this.waiting.decrementAndGet();
		this.running.incrementAndGet();
		try {
			this.record.line("run replica=" + this.id + " attempt=" + attempt);
			if (this.deadly.test(request)) {
				this.record.line("crash replica=" + this.id + " attempt=" + attempt);
				crash();
				return;
			}
			Thread.sleep(this.options.workMs());
		}
		finally {
			this.running.decrementAndGet();
			this.free.release();
		}
		headers.put("X-Acaciamux-Replica-Seal", "seal-" + attempt);
		headers.put("X-Acaciamux-Replica-Load",
				this.running.get() + "," + this.waiting.get() + "," + this.options.slots());
		send(out, 200, headers, ("body of " + attempt).getBytes());
	}

	private void send(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
		while (this.dark && !this.ended) {
			pause();
		}
		if (this.ended) {
			throw new IOException("the replica has crashed");
		}
		headers.put("Content-Length", String.valueOf(body.length));
		Http.write(out, "HTTP/1.1 " + status + " Status", headers, body);
	}

	private static void pause() {
		try {
			Thread.sleep(20);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Falls silent like a machine without power: nothing is sent any more, and new
	 * connections are not established, because those that nobody accepts fill the queue.
	 */
	void goDark() throws IOException {
		this.dark = true;
		for (int i = 0; i < BACKLOG + 3; i++) {
			Socket filler = new Socket();
			this.connections.add(filler);
			try {
				filler.connect(this.listener.getLocalSocketAddress(), 20);
			}
			catch (SocketTimeoutException ex) {
				// The queue is full.
				return;
			}
		}
	}

	/** Ends like a process that is killed: all its sockets are closed at once. */
	void crash() {
		this.ended = true;
		try {
			this.listener.close();
			for (Socket socket : this.connections) {
				socket.close();
			}
		}
		catch (IOException ex) {
			this.record.line("crash replica=" + this.id + " " + ex);
		}
	}

	@Override
	public void close() {
		crash();
	}

}

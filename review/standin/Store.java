import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: lists, watches and writes of objects, rates, an
 * answer time of 4 ms, silence, and a return from an older copy with a higher era.
 * Thread-safe.
 */
final class Store implements AutoCloseable {

	private static final int READS_PER_S = 2_000;

	private static final int WRITES_PER_S = 400;

	private final ServerSocket socket;

	private final Set<Socket> channels = new HashSet<>();

	private final Deque<Long> reads = new ArrayDeque<>();

	private final Deque<Long> writes = new ArrayDeque<>();

	private final Run run;

	private Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();

	private List<Event> history = new ArrayList<>();

	private long revision = 100;

	private int era = 1;

	private boolean silent;

	private boolean closed;

	Store(Run run) throws IOException {
		this.run = run;
		this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Run.background("store", this::accept);
	}

	private record Event(long revision, String kind, Map<String, Object> object, boolean tombstone) {
	}

	private record Reply(int status, Object body) {
	}

	/** The content of the store at one moment. */
	record Copy(Map<String, TreeMap<String, Map<String, Object>>> kinds, List<Event> history, long revision) {
	}

	String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	synchronized long revision() {
		return this.revision;
	}

	synchronized Copy copy() {
		Map<String, TreeMap<String, Map<String, Object>>> kept = new HashMap<>();
		this.kinds.forEach((kind, objects) -> kept.put(kind, new TreeMap<>(objects)));
		return new Copy(kept, new ArrayList<>(this.history), this.revision);
	}

	/** From now on nothing is answered. */
	synchronized void fallSilent() {
		this.silent = true;
		notifyAll();
	}

	/** Starts again from a copy: the channels are reset, and the era rises. */
	synchronized void comeBack(Copy copy) {
		this.kinds = new HashMap<>();
		copy.kinds().forEach((kind, objects) -> this.kinds.put(kind, new TreeMap<>(objects)));
		this.history = new ArrayList<>(copy.history());
		this.revision = copy.revision();
		this.era++;
		resetChannels();
		this.silent = false;
		notifyAll();
	}

	/** Answers again, with everything that was acknowledged. */
	synchronized void comeBack() {
		resetChannels();
		this.silent = false;
		notifyAll();
	}

	private void resetChannels() {
		for (Socket channel : this.channels) {
			try {
				channel.setSoLinger(true, 0);
				channel.close();
			}
			catch (IOException ex) {
				// It has ended already.
			}
		}
		this.channels.clear();
	}

	/** Writes an object as the operator or a replica does. */
	synchronized long put(String kind, String name, Object spec) {
		TreeMap<String, Map<String, Object>> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		Map<String, Object> known = objects.get(name);
		if (known != null && onlyBeats(known.get("spec"), spec)) {
			return this.revision;
		}
		Map<String, Object> metadata = new LinkedHashMap<>();
		this.revision++;
		metadata.put("name", name);
		metadata.put("revision", this.revision);
		metadata.put("create_revision",
				(known != null) ? ((Map<?, ?>) known.get("metadata")).get("create_revision") : this.revision);
		metadata.put("finalizers", List.of());
		metadata.put("deleting", false);
		Map<String, Object> object = new LinkedHashMap<>();
		object.put("metadata", metadata);
		object.put("spec", spec);
		object.put("status", null);
		objects.put(name, object);
		this.history.add(new Event(this.revision, kind, object, false));
		notifyAll();
		return this.revision;
	}

	// An entry changes when more than its beat number does.
	private static boolean onlyBeats(Object known, Object next) {
		if (!(known instanceof Map<?, ?> before) || !(next instanceof Map<?, ?> after)) {
			return Json.write(known).equals(Json.write(next));
		}
		Map<Object, Object> first = new HashMap<>(before);
		Map<Object, Object> second = new HashMap<>(after);
		first.remove("seq_no");
		second.remove("seq_no");
		return Json.write(new TreeMap<>(sortable(first))).equals(Json.write(new TreeMap<>(sortable(second))));
	}

	private static Map<String, Object> sortable(Map<Object, Object> map) {
		Map<String, Object> result = new HashMap<>();
		map.forEach((key, value) -> result.put(key.toString(), value));
		return result;
	}

	synchronized boolean remove(String kind, String name) {
		Map<String, Object> object = this.kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
		if (object == null) {
			return false;
		}
		this.history.add(new Event(++this.revision, kind, object, true));
		notifyAll();
		return true;
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket channel = this.socket.accept();
				channel.setTcpNoDelay(true);
				synchronized (this) {
					this.channels.add(channel);
				}
				Run.background("store-channel", () -> serve(channel));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket channel) {
		try (channel) {
			for (Http.Message call = Http.read(channel.getInputStream()); call != null; call = Http
				.read(channel.getInputStream())) {
				Reply reply = answer(call, channel);
				if (reply == null) {
					return;
				}
				byte[] body = Json.bytes(reply.body());
				int shownEra;
				synchronized (this) {
					shownEra = this.era;
				}
				String head = "HTTP/1.1 " + reply.status() + " -\r\nContent-Type: application/json\r\nStore-Era: " + shownEra
						+ "\r\nContent-Length: " + body.length + "\r\n\r\n";
				OutputStream out = channel.getOutputStream();
				out.write(concat(head.getBytes(StandardCharsets.US_ASCII), body));
				out.flush();
			}
		}
		catch (IOException ex) {
			// The caller has gone, or the store has reset its channels.
		}
	}

	private static byte[] concat(byte[] first, byte[] second) {
		byte[] result = new byte[first.length + second.length];
		System.arraycopy(first, 0, result, 0, first.length);
		System.arraycopy(second, 0, result, first.length, second.length);
		return result;
	}

	private Reply answer(Http.Message call, Socket channel) throws IOException {
		Run.sleep(4);
		String[] words = call.start().split(" ");
		String path = words[1].contains("?") ? words[1].substring(0, words[1].indexOf('?')) : words[1];
		Map<String, String> query = query(words[1]);
		String[] parts = path.split("/");
		String name = (parts.length > 3) ? parts[3] : "";
		synchronized (this) {
			if (awaitVoice(channel)) {
				return null;
			}
			boolean read = words[0].equals("GET");
			if (!query.containsKey("serializable")
					&& overRate(read ? this.reads : this.writes, read ? READS_PER_S : WRITES_PER_S)) {
				return new Reply(429, Map.of());
			}
			return switch (words[0]) {
				case "GET" -> query.containsKey("watch") ? watch(parts[2], query, channel) : list(parts[2], name);
				case "DELETE" -> new Reply(remove(parts[2], name) ? 200 : 404, Map.of());
				default -> write(words[0], parts[2], name, call.text());
			};
		}
	}

	// Waits while the store is silent. Returns whether the channel was reset meanwhile.
	private boolean awaitVoice(Socket channel) {
		while (this.silent) {
			await(1_000);
		}
		return channel.isClosed();
	}

	private void await(long ms) {
		try {
			wait(Math.max(1, ms));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean overRate(Deque<Long> calls, int limit) {
		long now = System.nanoTime();
		while (!calls.isEmpty() && now - calls.peekFirst() > 1_000_000_000L) {
			calls.pollFirst();
		}
		if (calls.size() >= limit) {
			return true;
		}
		calls.addLast(now);
		return false;
	}

	private static Map<String, String> query(String uri) {
		Map<String, String> result = new HashMap<>();
		if (uri.contains("?")) {
			for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
				result.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
			}
		}
		return result;
	}

	private Reply list(String kind, String name) {
		TreeMap<String, Map<String, Object>> objects = this.kinds.getOrDefault(kind, new TreeMap<>());
		if (!name.isEmpty()) {
			return objects.containsKey(name) ? new Reply(200, objects.get(name)) : new Reply(404, Map.of());
		}
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("items", new ArrayList<>(objects.values()));
		body.put("has_more", false);
		body.put("as_of", this.revision);
		return new Reply(200, body);
	}

	private Reply watch(String kind, Map<String, String> query, Socket channel) {
		long from = Long.parseLong(query.get("watch"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		if (from > this.revision) {
			this.run.log("store: watch of " + kind + " from " + from + " gets 410, the revision is " + this.revision);
			return new Reply(410, Map.of());
		}
		while (true) {
			if (channel.isClosed() || awaitVoice(channel)) {
				return null;
			}
			List<Object> events = new ArrayList<>();
			for (Event event : this.history) {
				if (event.revision() > from && event.kind().equals(kind)) {
					Map<String, Object> entry = new LinkedHashMap<>();
					entry.put("tombstone", event.tombstone());
					entry.put("object", event.object());
					events.add(entry);
				}
			}
			long leftMs = (end - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMs <= 0) {
				Map<String, Object> body = new LinkedHashMap<>();
				body.put("events", events);
				body.put("as_of", this.revision);
				return new Reply(200, body);
			}
			await(leftMs);
		}
	}

	private Reply write(String method, String kind, String name, String text) {
		Map<?, ?> object = (Map<?, ?>) Json.read(text);
		String target = name.isEmpty() ? ((Map<?, ?>) object.get("metadata")).get("name").toString() : name;
		Map<String, Object> known = this.kinds.getOrDefault(kind, new TreeMap<>()).get(target);
		if (method.equals("POST") && known != null) {
			return new Reply(409, known);
		}
		if (method.equals("PUT") && known == null) {
			return new Reply(404, Map.of());
		}
		long before = this.revision;
		put(kind, target, object.get("spec"));
		this.run.log("store: " + method + " of " + kind + "/" + target + " by a router, revision " + before + " -> "
				+ this.revision);
		return new Reply(200, this.kinds.get(kind).get(target));
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.socket.close();
	}

}

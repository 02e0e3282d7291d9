import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: lists in pages, watches and writes. Thread-safe. */
final class Store implements AutoCloseable {

	/** Objects in a page of a list at most. */
	private static final int PAGE = 500;

	/** Bytes of a page at most, unless it has one object only. */
	private static final int PAGE_BYTES = 1_048_576;

	private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();

	private final List<Event> history = new ArrayList<>();

	private final ServerSocket listener;

	private long revision = 1;

	private int calls;

	Store() throws IOException {
		this.listener = new ServerSocket(Ports.free(), 200, InetAddress.getLoopbackAddress());
		daemon(this::accept);
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "store");
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.listener.getLocalPort();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
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
			for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
				Map<String, Object> body = new LinkedHashMap<>();
				int status = answer(call, body);
				byte[] text = Json.write(body).getBytes(StandardCharsets.UTF_8);
				Http.write(socket.getOutputStream(), "HTTP/1.1 " + status + " Status", Map.of("Content-Type",
						"application/json", "Content-Length", String.valueOf(text.length), "Store-Era", "1"), text);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has left, or the case has ended.
			Thread.currentThread().interrupt();
		}
	}

	synchronized int calls() {
		return this.calls;
	}

	private synchronized int answer(Http.Message call, Map<String, Object> body) throws InterruptedException {
		this.calls++;
		String[] line = call.start().split(" ");
		String[] target = line[1].split("\\?");
		String[] path = target[0].split("/");
		String kind = path[2];
		String name = (path.length > 3) ? path[3] : "";
		TreeMap<String, Map<String, Object>> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		Map<String, String> query = new HashMap<>();
		for (String pair : (target.length > 1) ? target[1].split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		switch (line[0]) {
			case "POST", "PUT" -> {
				Map<String, Object> object = Json.object(call.text());
				boolean creates = line[0].equals("POST");
				String to = creates ? (String) ((Map<?, ?>) object.get("metadata")).get("name") : name;
				if (creates == objects.containsKey(to)) {
					return creates ? 409 : 404;
				}
				put(kind, to, object.get("spec"));
				body.putAll(objects.get(to));
				return 200;
			}
			case "DELETE" -> {
				return remove(kind, name) ? 200 : 404;
			}
			default -> {
				if (query.containsKey("watch")) {
					return watch(kind, query, body);
				}
				if (!name.isEmpty()) {
					body.putAll(objects.getOrDefault(name, Map.of()));
					return objects.containsKey(name) ? 200 : 404;
				}
				List<Object> rest = new ArrayList<>(
						objects.tailMap(query.getOrDefault("after_rev", ""), false).values());
				int items = items(rest);
				body.put("items", rest.subList(0, items));
				body.put("has_more", rest.size() > items);
				body.put("as_of", this.revision);
				return 200;
			}
		}
	}

	private static int items(List<Object> objects) {
		int bytes = 0;
		for (int i = 0; i < Math.min(PAGE, objects.size()); i++) {
			bytes += Json.write(objects.get(i)).length();
			if (i > 0 && bytes > PAGE_BYTES) {
				return i;
			}
		}
		return Math.min(PAGE, objects.size());
	}

	private int watch(String kind, Map<String, String> query, Map<String, Object> body) throws InterruptedException {
		long from = Long.parseLong(query.get("watch"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (true) {
			List<Object> events = new ArrayList<>();
			for (Event event : this.history) {
				if (event.revision > from && event.kind.equals(kind)) {
					events.add(Map.of("tombstone", event.tombstone, "object", event.object));
				}
			}
			long leftMs = (end - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMs <= 0) {
				body.put("events", events);
				body.put("as_of", this.revision);
				return 200;
			}
			wait(leftMs);
		}
	}

	/** Writes an object as its owner does. The write is acknowledged on return. */
	synchronized void put(String kind, String name, Object spec) {
		TreeMap<String, Map<String, Object>> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		Map<String, Object> known = objects.get(name);
		if (known != null && known.get("spec").equals(spec)) {
			return;
		}
		long created = (known != null) ? (long) ((Map<?, ?>) known.get("metadata")).get("create_revision")
				: this.revision + 1;
		Map<String, Object> metadata = new LinkedHashMap<>();
		metadata.put("name", name);
		metadata.put("revision", ++this.revision);
		metadata.put("create_revision", created);
		metadata.put("finalizers", List.of());
		metadata.put("deleting", false);
		Map<String, Object> object = new LinkedHashMap<>();
		object.put("metadata", metadata);
		object.put("spec", spec);
		object.put("status", null);
		objects.put(name, object);
		this.history.add(new Event(this.revision, kind, object, false));
		notifyAll();
	}

	void put(String kind, String name, String spec) {
		put(kind, name, Json.read(spec));
	}

	synchronized boolean remove(String kind, String name) {
		Map<String, Object> object = this.kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
		if (object != null) {
			this.history.add(new Event(++this.revision, kind, object, true));
			notifyAll();
		}
		return object != null;
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private record Event(long revision, String kind, Map<String, Object> object, boolean tombstone) {
	}

}

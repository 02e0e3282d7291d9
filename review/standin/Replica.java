import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a replica of a plain service, which answers every request after a few
 * milliseconds. It can crash, start again under its id, and announce that it leaves.
 * Thread-safe.
 */
final class Replica implements AutoCloseable {

	final String id;

	final String service;

	final int port;

	private final Run run;

	private final Observer observer;

	private final Set<Socket> channels = new HashSet<>();

	private final AtomicInteger running = new AtomicInteger();

	private ServerSocket socket;

	private long born;

	private volatile boolean leaving;

	volatile long workMs = 5;

	Replica(Run run, String id, String service, Observer observer) throws IOException {
		this.run = run;
		this.id = id;
		this.service = service;
		this.observer = observer;
		this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		this.port = this.socket.getLocalPort();
		this.born = System.currentTimeMillis();
		listen(this.socket);
	}

	/** Learns of each request that a replica runs. */
	interface Observer {

		void runs(Replica replica, Http.Message request, boolean leaving);

	}

	synchronized Map<String, Object> entry(String state) {
		Map<String, Object> entry = new LinkedHashMap<>();
		entry.put("service", this.service);
		entry.put("addr", "127.0.0.1:" + this.port);
		entry.put("zone", "zone-a");
		entry.put("version", "v1");
		entry.put("slots", 6L);
		entry.put("state", state);
		entry.put("cold_left_ms", 0L);
		entry.put("seq_no", 1L);
		entry.put("born", this.born);
		return entry;
	}

	private void listen(ServerSocket listener) {
		Run.background("replica-" + this.id, () -> {
			while (true) {
				try {
					Socket channel = listener.accept();
					channel.setTcpNoDelay(true);
					synchronized (this) {
						this.channels.add(channel);
					}
					Run.background("replica-channel", () -> serve(channel));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
	}

	/** Ends as a killed process does: its port is closed and its channels are reset. */
	synchronized void crash() throws IOException {
		this.socket.close();
		for (Socket channel : this.channels) {
			channel.setSoLinger(true, 0);
			channel.close();
		}
		this.channels.clear();
		this.run.log("replica " + this.id + " crashes");
	}

	/** Starts again under its id and address; its entry follows with a status report. */
	synchronized void restart() throws IOException {
		this.born = System.currentTimeMillis();
		this.leaving = false;
		this.socket = new ServerSocket();
		this.socket.setReuseAddress(true);
		this.socket.bind(new InetSocketAddress("127.0.0.1", this.port), 200);
		listen(this.socket);
		this.run.log("replica " + this.id + " has started again, born " + this.born);
	}

	/** From now on all answers say that the replica leaves. */
	void leave() {
		this.leaving = true;
		this.run.log("replica " + this.id + " leaves: its answers carry Server-Leaving");
	}

	private void serve(Socket channel) {
		try (channel) {
			for (Http.Message request = Http.read(channel.getInputStream()); request != null; request = Http
				.read(channel.getInputStream())) {
				String attempt = request.header("X-Acaciamux-Attempt-Id");
				String expected = request.header("X-Acaciamux-Expect-Replica");
				String leave = this.leaving ? "Server-Leaving: 1\r\n" : "";
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					write(channel, "421 Misdirected Request", "X-Acaciamux-Replica-Id: " + this.id + "\r\n" + leave, "");
					continue;
				}
				int now = this.running.incrementAndGet();
				this.observer.runs(this, request, this.leaving);
				Run.sleep(this.workMs);
				this.running.decrementAndGet();
				write(channel, "200 OK", "X-Acaciamux-Attempt-Id: " + attempt + "\r\nX-Acaciamux-Replica-Seal: seal-"
						+ attempt + "\r\nX-Acaciamux-Replica-Load: " + now + ",0,6\r\n" + leave,
						"answer to " + attempt + " by " + this.id);
			}
		}
		catch (IOException ex) {
			// The router has closed the channel, or the replica has crashed.
		}
		finally {
			synchronized (this) {
				this.channels.remove(channel);
			}
		}
	}

	private static void write(Socket channel, String status, String headers, String body) throws IOException {
		OutputStream out = channel.getOutputStream();
		out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	@Override
	public synchronized void close() throws IOException {
		this.socket.close();
	}

}

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** Stand-in for a consumer: one channel, one request at a time. Not thread-safe. */
final class Client implements AutoCloseable {

	private final Socket socket = new Socket();

	/** Number of pieces in which a body is sent, and the pause between them. */
	int pieces = 1;

	long pauseMs;

	Client(int port) throws IOException {
		this.socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
		this.socket.setTcpNoDelay(true);
	}

	static String newAttempt() {
		return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
	}

	/**
	 * Sends a request and waits for its answer.
	 * @return the answer, null if the channel was closed without one
	 */
	Http.Message call(String method, String path, String attempt, String key, int waitMs, String headers, byte[] body)
			throws IOException {
		send(method, path, attempt, key, waitMs, headers, body);
		return receive(waitMs + 500);
	}

	/** Sends a request. */
	void send(String method, String path, String attempt, String key, int waitMs, String headers, byte[] body)
			throws IOException {
		String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Acaciamux-Attempt-Id: " + attempt
				+ "\r\nX-Acaciamux-Deadline-Ms: " + waitMs + "\r\nX-Acaciamux-Key: " + key + "\r\n" + headers
				+ (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
		this.socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
		int piece = Math.max(600, body.length / this.pieces);
		for (int at = 0; at < body.length; at += piece) {
			if (at > 0) {
				Run.sleep(this.pauseMs);
			}
			this.socket.getOutputStream().write(body, at, Math.min(piece, body.length - at));
		}
		this.socket.getOutputStream().flush();
	}

	/**
	 * Waits for an answer.
	 * @return the answer, null if the channel was closed without one
	 */
	Http.Message receive(int waitMs) throws IOException {
		this.socket.setSoTimeout(waitMs);
		return Http.read(this.socket.getInputStream());
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** One consumer with one kept connection to a router. Confined to its thread. */
final class Consumer implements AutoCloseable {

	private final Router router;

	private Socket socket;

	private BufferedInputStream in;

	Consumer(Router router) {
		this.router = router;
	}

	boolean connected() {
		return this.socket != null;
	}

	/**
	 * Sends one request and reads its answer.
	 * @param timeLimitMs how long the consumer waits
	 * @return the answer
	 * @throws IOException if there is no complete answer
	 */
	Http.Message call(String line, Map<String, String> headers, byte[] body, int timeLimitMs) throws IOException {
		try {
			if (this.socket == null) {
				this.socket = new Socket();
				this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.router.port()), 1_000);
				this.socket.setTcpNoDelay(true);
				this.in = new BufferedInputStream(this.socket.getInputStream());
			}
			Map<String, String> all = new LinkedHashMap<>(headers);
			all.put("X-Acaciamux-Deadline-Ms", String.valueOf(timeLimitMs));
			if (body.length > 0) {
				all.put("Content-Length", String.valueOf(body.length));
			}
			this.socket.setSoTimeout(timeLimitMs);
			Http.write(this.socket.getOutputStream(), line, all, body);
			Http.Message answer = Http.read(this.in);
			if (answer == null) {
				throw new IOException("the router closed the connection");
			}
			if ("close".equalsIgnoreCase(answer.header("connection"))) {
				close();
			}
			return answer;
		}
		catch (IOException ex) {
			close();
			throw ex;
		}
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
		this.socket = null;
	}

}

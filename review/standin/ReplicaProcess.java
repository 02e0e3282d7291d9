import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A replica as a process of its own, which can be killed. Its answers have neither a
 * length nor chunks and end with their channel; it makes each in two steps.
 */
final class ReplicaProcess {

	private static final long STEP_MS = 80;

	/** Size of each half of a body. */
	private static final int HALF_BYTES = 400;

	private ReplicaProcess() {
	}

	/** Starts a replica: its id, its port, or 0 for a free one, which it prints. */
	public static void main(String[] args) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), Integer.parseInt(args[1])), 200);
		System.out.println(socket.getLocalPort());
		while (true) {
			Socket channel = socket.accept();
			Run.background("channel", () -> serve(args[0], channel));
		}
	}

	/** The body of an answer, which tells whether it is whole. */
	static String body(String attempt) {
		String half = (attempt + " ").repeat(HALF_BYTES).substring(0, HALF_BYTES);
		return half + half.substring(0, HALF_BYTES - 3) + "end";
	}

	private static void serve(String id, Socket channel) {
		try (channel) {
			Http.Message request = Http.read(channel.getInputStream());
			if (request == null) {
				return;
			}
			String attempt = request.header("X-Acaciamux-Attempt-Id");
			OutputStream out = channel.getOutputStream();
			if (!request.header("X-Acaciamux-Expect-Replica").equals(id)) {
				write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Acaciamux-Replica-Id: " + id
						+ "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
				return;
			}
			String body = body(attempt);
			Run.sleep(STEP_MS / 2);
			write(out, "HTTP/1.1 200 OK\r\nX-Acaciamux-Attempt-Id: " + attempt + "\r\nX-Acaciamux-Replica-Seal: seal-" + attempt
					+ "\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n" + body.substring(0, HALF_BYTES));
			Run.sleep(STEP_MS);
			write(out, body.substring(HALF_BYTES));
		}
		catch (IOException ex) {
			// The router has closed the channel.
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

}

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Free loopback ports below those that the system gives to outgoing connections. */
final class Ports {

	private static final Set<Integer> USED = new HashSet<>();

	private Ports() {
	}

	static synchronized int free() {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				if (USED.add(socket.getLocalPort())) {
					return port;
				}
			}
			catch (IOException ex) {
				// In use: try another one.
				Thread.onSpinWait();
			}
		}
	}

}

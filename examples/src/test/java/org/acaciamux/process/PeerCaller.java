package org.acaciamux.process;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;

import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Hello;
import org.acaciamux.internal.protocol.wire.HelloReply;

/**
 * Sends raw bytes and handshakes to a daemon's peer port, as a faulty process or one of
 * another version would. Stateless.
 */
final class PeerCaller {

	private static final int READ_TIMEOUT_MS = 30_000;

	private PeerCaller() {
	}

	static HelloReply hello(int port, int minVersion, int maxVersion) {
		Hello hello = Hello.newBuilder()
			.setMinVersion(minVersion)
			.setMaxVersion(maxVersion)
			.setRole("router")
			.setId("router-of-another-version")
			.setIncarnation(7)
			.build();
		byte[] frame = Frame.newBuilder().setHello(hello).build().toByteArray();
		try (Socket socket = connect(port)) {
			DataOutputStream out = new DataOutputStream(socket.getOutputStream());
			out.writeInt(frame.length);
			out.write(frame);
			out.flush();
			DataInputStream in = new DataInputStream(socket.getInputStream());
			byte[] reply = new byte[in.readInt()];
			in.readFully(reply);
			return Frame.parseFrom(reply).getHelloReply();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("no reply to the handshake", ex);
		}
	}

	/**
	 * Send bytes and wait up to 30 s until the other side closes the connection.
	 * @param port the peer port
	 * @param bytes the bytes
	 * @return whether it closed the connection without sending anything
	 */
	static boolean isClosedAfter(int port, byte[] bytes) {
		try (Socket socket = connect(port)) {
			socket.getOutputStream().write(bytes);
			socket.getOutputStream().flush();
			return socket.getInputStream().read() < 0;
		}
		catch (java.net.SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

	private static Socket connect(int port) throws IOException {
		Socket socket = new Socket("127.0.0.1", port);
		socket.setSoTimeout(READ_TIMEOUT_MS);
		return socket;
	}

}

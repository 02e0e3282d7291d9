package org.acaciamux.internal.transport.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import static org.testng.Assert.assertNotNull;

/**
 * A server whose responses the test writes byte by byte. Not thread-safe.
 */
final class ScriptedServer implements AutoCloseable {

	static final long FLOOD_BYTES = 64L * 1024 * 1024;

	static final int WAIT_S = 30;

	private final ServerSocket listener;

	private Socket last;

	ScriptedServer() throws IOException {
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.listener.setSoTimeout(WAIT_S * 1_000);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	Socket accepted(boolean fresh) throws IOException {
		if (fresh) {
			this.last = this.listener.accept();
			this.last.setSoTimeout(WAIT_S * 1_000);
		}
		assertNotNull(this.last);
		return this.last;
	}

	String readRequest(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		InputStream in = socket.getInputStream();
		while (text.indexOf("\r\n\r\n") < 0) {
			text.append((char) in.read());
		}
		int length = Integer.parseInt(text.toString().replaceAll("(?is).*content-length: (\\d+).*", "$1"));
		in.readNBytes(length);
		return text.toString();
	}

	static void send(Socket socket, String text) throws IOException {
		OutputStream out = socket.getOutputStream();
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}

package org.acaciamux.internal.transport.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * A caller that uses a plain socket, so that tests control every byte.
 */
final class HttpCaller implements AutoCloseable {

	private static final int READ_TIMEOUT_MS = 20_000;

	private final Socket socket = new Socket();

	private final InputStream input;

	HttpCaller(InetSocketAddress address) throws IOException {
		this.socket.setReceiveBufferSize(16 << 10);
		this.socket.setSoTimeout(READ_TIMEOUT_MS);
		this.socket.connect(address);
		this.input = new BufferedInputStream(this.socket.getInputStream());
	}

	HttpCaller send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		return this;
	}

	/**
	 * Read until a text has arrived.
	 * @param end the text that ends the part to read
	 * @return everything read, the text included
	 */
	String readUntil(String end) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf(end, text.length() - end.length()) < 0) {
			int next = this.input.read();
			if (next < 0) {
				throw new IOException("connection ended after: " + text);
			}
			text.append((char) next);
		}
		return text.toString();
	}

	String readToEnd() throws IOException {
		return new String(this.input.readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	/**
	 * Check whether the connection ends within a time, in milliseconds.
	 */
	boolean endsWithin(int timeoutMs) throws IOException {
		this.socket.setSoTimeout(timeoutMs);
		try {
			return this.input.read() < 0;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		finally {
			this.socket.setSoTimeout(READ_TIMEOUT_MS);
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}

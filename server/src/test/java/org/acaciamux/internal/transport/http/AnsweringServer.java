package org.acaciamux.internal.transport.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that hands each request to the test, on whatever connection it arrives.
 * Requests have a length or no body. The answer is called by one thread for each
 * connection.
 */
final class AnsweringServer implements AutoCloseable {

	private final AtomicInteger connections = new AtomicInteger();

	private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

	private final ServerSocket listener;

	private final Answer answer;

	AnsweringServer(Answer answer) throws IOException {
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.answer = answer;
		startThread(this::accept);
	}

	private static void startThread(Runnable action) {
		Thread thread = new Thread(action, "answering-server");
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.listener.getLocalPort();
	}

	/**
	 * Return how many connections were accepted.
	 * @return the number
	 */
	int connections() {
		return this.connections.get();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				this.connections.incrementAndGet();
				startThread(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has closed the server.
		}
	}

	private void serve(Socket socket) {
		try {
			String head = readRequest(socket);
			while (!head.isEmpty()) {
				this.answer.answer(socket, head);
				head = readRequest(socket);
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private static String readRequest(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		InputStream in = socket.getInputStream();
		while (text.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return "";
			}
			text.append((char) next);
		}
		in.readNBytes(Integer.parseInt(header(text.toString(), "content-length", "0")));
		return text.toString();
	}

	/**
	 * Return the value of a header.
	 * @param head the head of a request
	 * @param name the name in lower case
	 * @param defaultValue the value if there is no such header
	 * @return the value
	 */
	static String header(String head, String name, String defaultValue) {
		return head.lines()
			.filter((line) -> line.toLowerCase().startsWith(name + ":"))
			.map((line) -> line.substring(name.length() + 1).trim())
			.findFirst()
			.orElse(defaultValue);
	}

	/**
	 * Send bytes on a connection that the client may have closed.
	 * @param socket the connection
	 * @param text the bytes
	 */
	static void sendIfOpen(Socket socket, String text) {
		try {
			ScriptedServer.send(socket, text);
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * Answers requests.
	 */
	interface Answer {

		/**
		 * Answer a request.
		 * @param socket the connection on which it arrived
		 * @param head its head
		 * @throws IOException if the connection is closed
		 */
		void answer(Socket socket, String head) throws IOException;

	}

}

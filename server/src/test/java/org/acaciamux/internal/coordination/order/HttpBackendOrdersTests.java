package org.acaciamux.internal.coordination.order;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against an order that counts as carried out because a response to another call
 * was taken for the one to it. Uses sockets on the loopback address.
 */
public class HttpBackendOrdersTests {

	private static final int WAIT_S = 30;

	private static final String DESCRIPTION = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"version\":\"v1\"}";

	private static final String REFUSAL = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private Socket described;

	@AfterClass
	public void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void aRefusedOrderIsNotCarriedOutBecauseADescriptionArrivesTwice() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			Thread thread = new Thread(() -> accept(server), "engine");
			thread.setDaemon(true);
			thread.start();
			HttpBackendOrders orders = new HttpBackendOrders(this.group,
					new InetSocketAddress("127.0.0.1", server.getLocalPort()), WAIT_S * 1_000);
			assertEquals(await(orders.describe()).version(), "v1");
			BackendOrders.LoadOrder order = new BackendOrders.LoadOrder(1, "v2", List.of());
			assertEquals(await(orders.load(order, () -> true)), BackendOrders.Result.STALE);
		}
	}

	private static <T> T await(CompletionStage<T> stage) throws Exception {
		return stage.toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
	}

	private void accept(ServerSocket server) {
		try {
			while (true) {
				Socket socket = server.accept();
				Thread thread = new Thread(() -> serve(socket), "engine-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		try {
			InputStream in = socket.getInputStream();
			byte[] buffer = new byte[8 * 1024];
			int length = in.read(buffer);
			while (length > 0) {
				answer(socket, new String(buffer, 0, length, StandardCharsets.US_ASCII));
				length = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private synchronized void answer(Socket socket, String request) throws IOException {
		if (request.startsWith("GET ")) {
			this.described = socket;
			send(socket, DESCRIPTION);
		}
		else if (request.startsWith("POST ")) {
			sendSecondDescription();
			send(socket, REFUSAL);
		}
	}

	private void sendSecondDescription() {
		try {
			send(this.described, DESCRIPTION);
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

}

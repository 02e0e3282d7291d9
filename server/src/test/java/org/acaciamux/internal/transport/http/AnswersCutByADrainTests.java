package org.acaciamux.internal.transport.http;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.routing.ResponseSink;
import org.acaciamux.internal.coordination.routing.RoutedCall;
import org.acaciamux.internal.coordination.routing.RoutedRequest;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.ResponseHead;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against responses that a drain cuts after they were written, and against bodies
 * that a draining router asks for and refuses.
 */
public class AnswersCutByADrainTests {

	private static final int WAIT_S = 20;

	private static final int WAIT_MS = WAIT_S * 1_000;

	private static final int BODY_BYTES = 300_000;

	private static final String GET = "GET /pools/chat/x HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final String LAST_GET = "GET /pools/chat/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

	private static final String EXPECTING_POST = "POST /pools/chat/x HTTP/1.1\r\nHost: h\r\n"
			+ "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n";

	private final BlockingQueue<ResponseSink> calls = new LinkedBlockingQueue<>();

	private EventLoopGroup loop;

	private HttpFrontend frontend;

	private InetSocketAddress address;

	@BeforeMethod
	public void listen() {
		this.calls.clear();
		this.loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		HttpLimits limits = new HttpLimits(1_024, 2_048, 100, 1_000, 1 << 20, WAIT_MS, WAIT_MS);
		this.frontend = new HttpFrontend(this.loop, limits, this::accept);
		this.address = this.frontend.bind(new InetSocketAddress("127.0.0.1", 0)).get();
	}

	@AfterMethod
	public void stop() {
		this.frontend.close();
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void announcedLastResponseReachesACallerThatReadsLateAndStillSends() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(LAST_GET);
			answer(nextCall());
			caller.readUntil("\r\n\r\n");
			this.loop.submit(() -> {
			}).sync();
			drain();
			Thread.sleep(100);
			caller.send("late bytes");
			Thread.sleep(100);
			assertEquals(caller.readToEnd().length(), BODY_BYTES);
		}
	}

	@Test
	public void bodyThatWouldBeRefusedIsNotAskedFor() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			ResponseSink first = nextCall();
			first.head(ResponseHead.newBuilder().setStatus(200).build(), "id-1");
			caller.readUntil("\r\n\r\n");
			drain();
			first.end();
			caller.readUntil("0\r\n\r\n");
			caller.send(EXPECTING_POST);
			String response = caller.readUntil("\r\n\r\n");
			assertTrue(response.startsWith("HTTP/1.1 503 "), response);
			assertTrue(response.toLowerCase().contains("acaciamux-outcome: not-run"), response);
			assertTrue(response.toLowerCase().contains("connection: close"), response);
		}
	}

	/**
	 * Begin a drain and wait until it is in force.
	 */
	private void drain() throws Exception {
		try (HttpCaller idle = new HttpCaller(this.address)) {
			idle.send("GET /nothing HTTP/1.1\r\n\r\n").readUntil("requestId\":\"\"}");
			this.frontend.drain();
			assertEquals(idle.readToEnd(), "");
		}
	}

	private static void answer(ResponseSink sink) {
		Header length = Header.newBuilder().setName("content-length").setValue(Integer.toString(BODY_BYTES)).build();
		sink.head(ResponseHead.newBuilder().setStatus(200).addHeaders(length).build(), "id-1");
		sink.body(ByteString.copyFrom(new byte[BODY_BYTES]));
		sink.end();
	}

	private RoutedCall accept(RoutedRequest request, ResponseSink sink) {
		this.calls.add(sink);
		return new NoCall();
	}

	private ResponseSink nextCall() throws InterruptedException {
		ResponseSink call = this.calls.poll(WAIT_S, TimeUnit.SECONDS);
		assertNotNull(call, "the request was not routed");
		return call;
	}

	private static final class NoCall implements RoutedCall {

		@Override
		public void consumed(long bytes) {
			// The fake router keeps no credit.
		}

		@Override
		public void cancel() {
			// The fake router runs nothing.
		}

	}

}

package org.acaciamux.internal.transport.http;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.routing.ResponseSink;
import org.acaciamux.internal.coordination.routing.RoutedCall;
import org.acaciamux.internal.coordination.routing.RoutedRequest;
import org.acaciamux.internal.protocol.wire.ResponseHead;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that end with their connection, without an answer or a refusal.
 * Uses sockets on the loopback address, one event loop, and a fake router.
 */
public class CallerConnectionTests {

	private static final int WAIT_S = 20;

	private static final int IDLE_MS = 300;

	private static final int REQUEST_MS = 300;

	private static final String GET = "GET /pools/chat/x HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final String BLOCK = "GET /pools/chat/block HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final String NOT_ROUTED = "GET /nothing HTTP/1.1\r\n\r\n";

	private static final String END_OF_NOT_ROUTED = "requestId\":\"\"}";

	private final BlockingQueue<ResponseSink> calls = new LinkedBlockingQueue<>();

	private CountDownLatch blocked;

	private CountDownLatch release;

	private EventLoopGroup loop;

	private HttpFrontend frontend;

	private InetSocketAddress address;

	@BeforeMethod
	public void start() {
		this.calls.clear();
		this.blocked = new CountDownLatch(1);
		this.release = new CountDownLatch(1);
		this.loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
	}

	@AfterMethod
	public void stop() {
		this.release.countDown();
		this.frontend.close();
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Guards against a pipelined request that is read and dropped because a drain begins
	 * before the response to the request before it.
	 */
	@Test
	public void aRequestReadAheadIsAnsweredInADrain() throws Exception {
		listen(WAIT_S * 1_000, WAIT_S * 1_000);
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET + GET);
			ResponseSink first = nextCall();
			drain();
			first.head(head(), "id-1");
			first.end();
			answer(nextCall(), "id-2");
			String both = caller.readToEnd();
			assertTrue(both.contains("id-1") && both.contains("id-2"), both);
			assertEquals(both.toLowerCase().split("connection: close", -1).length, 2, both);
		}
	}

	/**
	 * Guards against a second request that is under way when the response before it ends
	 * during a drain.
	 */
	@Test
	public void aRequestReadAheadInPartIsAnsweredInADrain() throws Exception {
		listen(WAIT_S * 1_000, WAIT_S * 1_000);
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			ResponseSink first = nextCall();
			caller.send(GET.substring(0, 20));
			drain();
			answer(first, "id-1");
			caller.readUntil("\"requestId\":\"id-1\"}");
			caller.send(GET.substring(20));
			answer(nextCall(), "id-2");
			assertTrue(caller.readToEnd().contains("id-2"));
		}
	}

	/**
	 * Guards against a connection that closes without notice at the end of a response
	 * whose head, written before the drain, announced that it stays open.
	 */
	@Test
	public void aConnectionThatWasAnnouncedAsKeptAnswersTheNextRequestInADrain() throws Exception {
		listen(WAIT_S * 1_000, WAIT_S * 1_000);
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			ResponseSink first = nextCall();
			first.head(head(), "id-1");
			caller.readUntil("\r\n\r\n");
			drain();
			first.end();
			caller.readUntil("0\r\n\r\n");
			caller.send(GET);
			answer(nextCall(), "id-2");
			String second = caller.readToEnd();
			assertTrue(second.contains("id-2") && second.toLowerCase().contains("connection: close"), second);
		}
	}

	/**
	 * Guards against a drain that waits for a caller that sends nothing more.
	 */
	@Test
	public void aConnectionThatWasAnnouncedAsKeptClosesInADrainIfNothingFollows() throws Exception {
		listen(WAIT_S * 1_000, WAIT_S * 1_000);
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			ResponseSink first = nextCall();
			first.head(head(), "id-1");
			caller.readUntil("\r\n\r\n");
			drain();
			first.end();
			assertEquals(caller.readToEnd(), "0\r\n\r\n");
		}
	}

	/**
	 * Guards against a whole request that waits unread while the event loop is busy when
	 * the idle time of its connection ends.
	 */
	@Test
	public void aRequestThatArrivedBeforeTheIdleTimeEndedIsAnswered() throws Exception {
		listen(IDLE_MS, WAIT_S * 1_000);
		try (HttpCaller busy = new HttpCaller(this.address); HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(NOT_ROUTED).readUntil(END_OF_NOT_ROUTED);
			busy.send(BLOCK);
			assertTrue(this.blocked.await(WAIT_S, TimeUnit.SECONDS));
			caller.send(GET);
			passWhileBlocked(IDLE_MS);
			answer(nextCall(), "id-1");
			assertTrue(caller.readUntil("id-1").startsWith("HTTP/1.1 503"));
		}
	}

	/**
	 * Guards against a request that is refused as incomplete although it arrived whole
	 * while the event loop was busy.
	 */
	@Test
	public void aRequestThatArrivedWholeBeforeItsTimeEndedIsAnswered() throws Exception {
		listen(WAIT_S * 1_000, REQUEST_MS);
		try (HttpCaller busy = new HttpCaller(this.address); HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(NOT_ROUTED).readUntil(END_OF_NOT_ROUTED);
			caller.send(GET.substring(0, 20));
			busy.send(BLOCK);
			assertTrue(this.blocked.await(WAIT_S, TimeUnit.SECONDS));
			caller.send(GET.substring(20));
			passWhileBlocked(REQUEST_MS);
			answer(nextCall(), "id-1");
			String response = caller.readUntil("\"requestId\":\"");
			assertTrue(response.startsWith("HTTP/1.1 503"), response);
		}
	}

	/**
	 * Guards against a whole request that waits unread on an idle connection when the
	 * drain begins.
	 */
	@Test
	public void aRequestThatArrivedBeforeTheDrainIsAnswered() throws Exception {
		listen(WAIT_S * 1_000, WAIT_S * 1_000);
		try (HttpCaller busy = new HttpCaller(this.address); HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(NOT_ROUTED).readUntil(END_OF_NOT_ROUTED);
			busy.send(BLOCK);
			assertTrue(this.blocked.await(WAIT_S, TimeUnit.SECONDS));
			caller.send(GET);
			this.frontend.drain();
			this.release.countDown();
			answer(nextCall(), "id-1");
			assertTrue(caller.readUntil("id-1").startsWith("HTTP/1.1 503"));
		}
	}

	private void listen(long idleMs, long requestMs) {
		HttpLimits limits = new HttpLimits(1_024, 2_048, 100, 1_000, 1 << 20, requestMs, idleMs);
		this.frontend = new HttpFrontend(this.loop, limits, this::accept);
		this.address = this.frontend.bind(new InetSocketAddress("127.0.0.1", 0)).get();
	}

	/**
	 * Begin a drain and wait until it is in force.
	 */
	private void drain() throws Exception {
		try (HttpCaller idle = new HttpCaller(this.address)) {
			idle.send(NOT_ROUTED).readUntil(END_OF_NOT_ROUTED);
			this.frontend.drain();
			assertEquals(idle.readToEnd(), "");
		}
	}

	/**
	 * Let a time limit end while the event loop is busy.
	 */
	private void passWhileBlocked(long ms) throws InterruptedException {
		Thread.sleep(2 * ms);
		this.release.countDown();
	}

	private RoutedCall accept(RoutedRequest request, ResponseSink sink) {
		if (request.path().equals("/block")) {
			this.blocked.countDown();
			await(this.release);
			sink.fail(Failure.notRun(FailureCode.NO_BACKEND, "blocked", 0), "id-0");
		}
		else {
			this.calls.add(sink);
		}
		return new NoCall();
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(WAIT_S, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private ResponseSink nextCall() throws InterruptedException {
		ResponseSink call = this.calls.poll(WAIT_S, TimeUnit.SECONDS);
		assertNotNull(call, "the request got no answer");
		return call;
	}

	private static void answer(ResponseSink call, String id) {
		call.fail(Failure.notRun(FailureCode.NO_BACKEND, "answer", 0), id);
	}

	private static ResponseHead head() {
		return ResponseHead.newBuilder().setStatus(200).setServer("a").build();
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

package org.acaciamux.internal.transport.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.routing.ResponseSink;
import org.acaciamux.internal.coordination.routing.RoutedCall;
import org.acaciamux.internal.coordination.routing.RoutedRequest;
import org.acaciamux.internal.protocol.wire.Header;
import org.acaciamux.internal.protocol.wire.ResponseHead;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Guards against incomplete responses that look complete, requests beyond a limit that
 * are accepted, and bytes that count as consumed before the caller reads them. Uses
 * sockets on the loopback address and a fake router.
 */
public class HttpFrontendTests {

	private static final String GET = "GET /pools/chat/x HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final HttpLimits LIMITS = new HttpLimits(1_024, 2_048, 100, 1_000, 1 << 20, 400, 60_000);

	private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

	private EventLoopGroup loops;

	private HttpFrontend frontend;

	private InetSocketAddress address;

	@BeforeMethod
	public void start() {
		this.calls.clear();
		this.loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
		this.frontend = new HttpFrontend(this.loops, LIMITS, this::accept);
		this.address = this.frontend.bind(new InetSocketAddress("127.0.0.1", 0)).get();
	}

	@AfterMethod
	public void stop() {
		this.frontend.close();
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void aResponseIsStreamedWhileItIsProduced() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send("POST /pools/chat/x?y=1 HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\nContent-Length: 4\r\n\r\nbody");
			Call call = nextCall();
			assertEquals(call.request.path(), "/x?y=1");
			assertEquals(call.request.body().toStringUtf8(), "body");
			call.sink.head(head(), "id-1");
			call.sink.body(ByteString.copyFromUtf8("first"));
			String begin = caller.readUntil("first");
			assertTrue(begin.contains("acaciamux-outcome: answered") || begin.contains("Acaciamux-Outcome: answered"));
			assertTrue(begin.contains("Acaciamux-Affinity: a\r\n"), begin);
			call.sink.end();
			caller.readUntil("0\r\n\r\n");
		}
	}

	@Test
	public void aBodyBeyondTheLimitIsRefused() throws Exception {
		assertRefused("POST /pools/chat/x HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "413", "\"outcome\":\"not-run\"");
		assertRefused("POST /pools/chat/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101),
				"413", "body-too-large");
	}

	@Test
	public void headersBeyondTheLimitAreRefused() throws Exception {
		assertRefused("GET /pools/chat/x HTTP/1.1\r\nX-Long: " + "x".repeat(3_000) + "\r\n\r\n", "431",
				"headers-too-large");
	}

	@Test
	public void aRequestThatIsNotHttpIsRefusedWithUnknownOutcome() throws Exception {
		assertRefused("no http at all\r\n\r\n", "400", "\"outcome\":\"unknown\"");
	}

	@Test
	public void aRequestThatStaysIncompleteIsRefusedAfterTheTimeout() throws Exception {
		assertRefused("POST /pools/chat/x HTTP/1.1\r\nContent-Le", "408", "\"outcome\":\"unknown\"");
		assertRefused("POST /pools/chat/x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "408", "not-run");
	}

	@Test
	public void aRefusalCarriesARetryAfterHeaderInWholeSeconds() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			nextCall().sink.fail(Failure.unknown(FailureCode.NOT_READY, "why", 1_200), "id-1");
			String response = caller.readUntil("\"requestId\":\"id-1\"}");
			assertTrue(response.startsWith("HTTP/1.1 503 "), response);
			assertTrue(response.toLowerCase().contains("retry-after: 2\r\n"), response);
			assertTrue(response.contains("\"retryAfterMs\":1200"), response);
		}
	}

	@Test
	public void aCallerThatDisconnectsCancelsItsRequest() throws Exception {
		HttpCaller caller = new HttpCaller(this.address);
		caller.send(GET);
		Call call = nextCall();
		caller.close();
		assertTrue(call.cancelled.tryAcquire(20, TimeUnit.SECONDS));
	}

	@Test
	public void bytesThatTheCallerDoesNotReadDoNotCountAsConsumed() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			Call call = nextCall();
			call.sink.head(head(), "id-1");
			ByteString piece = ByteString.copyFromUtf8("x".repeat(1 << 20));
			for (int i = 0; i < 64; i++) {
				call.sink.body(piece);
			}
			call.sink.end();
			caller.readUntil("\r\n\r\n");
			awaitLoops();
			assertTrue(call.consumed.get() < (64 << 20), "all 64 MiB count as consumed, more than the socket can hold");
			caller.readUntil("0\r\n\r\n");
			assertEquals(call.consumed.get(), 64 << 20);
		}
	}

	@Test
	public void aBrokenResponseDoesNotLookComplete() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			Call call = nextCall();
			call.sink.head(head(), "id-1");
			call.sink.body(ByteString.copyFromUtf8("first"));
			caller.readUntil("first");
			call.sink.abort(Failure.unknown(FailureCode.AGENT_LOST, "why", 0));
			assertFalse(caller.readToEnd().contains("0\r\n\r\n"));
		}
	}

	private Call startWithoutChunks(HttpCaller caller) throws Exception {
		caller.send("GET /pools/chat/x HTTP/1.0\r\n\r\n");
		Call call = nextCall();
		call.sink.head(head(), "id-1");
		call.sink.body(ByteString.copyFromUtf8("first"));
		return call;
	}

	@Test
	public void aBrokenResponseWithoutChunksEndsWithAReset() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			Call call = startWithoutChunks(caller);
			caller.readUntil("first");
			call.sink.abort(Failure.unknown(FailureCode.AGENT_LOST, "why", 0));
			assertThrows(IOException.class, caller::readToEnd);
		}
	}

	/**
	 * A router that stops, or is killed, closes its connections; that must not complete a
	 * response that ends with its connection.
	 */
	@Test
	public void aResponseWithoutChunksEndsWithAResetIfTheRouterStops() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			Call call = startWithoutChunks(caller);
			caller.readUntil("first");
			this.loops.shutdownGracefully(0, 20, TimeUnit.SECONDS);
			assertThrows(IOException.class, caller::readToEnd);
		}
	}

	@Test
	public void aCompleteResponseWithoutChunksEndsWithoutAReset() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			Call call = startWithoutChunks(caller);
			call.sink.end();
			assertTrue(caller.readToEnd().endsWith("first"));
		}
	}

	@Test
	public void aResponseShorterThanItsContentLengthDoesNotLookComplete() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET);
			Call call = nextCall();
			Header length = Header.newBuilder().setName("Content-Length").setValue("10").build();
			call.sink.head(head().toBuilder().addHeaders(length).build(), "id-1");
			call.sink.body(ByteString.copyFromUtf8("first"));
			call.sink.end();
			assertTrue(caller.readToEnd().endsWith("first"));
			assertTrue(call.cancelled.tryAcquire(20, TimeUnit.SECONDS));
		}
	}

	@Test
	public void pipelinedRequestsAreAnsweredOneAfterTheOther() throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			caller.send(GET + GET);
			Call first = nextCall();
			awaitLoops();
			assertTrue(this.calls.isEmpty());
			first.sink.fail(Failure.notRun(FailureCode.NO_BACKEND, "one", 0), "id-1");
			nextCall().sink.fail(Failure.notRun(FailureCode.NO_BACKEND, "two", 0), "id-2");
			String both = caller.readUntil("\"requestId\":\"id-2\"");
			assertTrue(both.indexOf("id-1") < both.indexOf("\"two\""), both);
		}
	}

	@Test(invocationCount = 50)
	public void aDrainClosesIdleConnectionsAndFinishesResponses() throws Exception {
		try (HttpCaller idle = new HttpCaller(this.address); HttpCaller busy = new HttpCaller(this.address)) {
			busy.send(GET);
			Call call = nextCall();
			idle.send("GET /nothing HTTP/1.1\r\n\r\n").readUntil("requestId\":\"\"}");
			var drained = this.frontend.drain().toCompletableFuture();
			assertEquals(idle.readToEnd(), "");
			assertFalse(drained.isDone());
			assertThrows(IOException.class, () -> new HttpCaller(this.address));
			call.sink.head(head(), "id-1");
			call.sink.end();
			String response = busy.readToEnd();
			assertTrue(response.endsWith("0\r\n\r\n") && response.toLowerCase().contains("connection: close"),
					response);
		}
		this.frontend.drain().toCompletableFuture().get(20, TimeUnit.SECONDS);
	}

	/**
	 * A caller whose idle connection was closed may connect again at once; the draining
	 * router must not accept it.
	 */
	@Test
	public void idleConnectionsStayOpenUntilTheListenerIsClosed() throws Exception {
		int listening = 0;
		for (EventExecutor blocked : this.loops) {
			// Frontends take the event loops in turn, so one of two listeners is blocked.
			listening += listensWhileDraining(blocked) ? 1 : 0;
			listening += listensWhileDraining(blocked) ? 1 : 0;
		}
		assertEquals(listening, 2);
	}

	private boolean listensWhileDraining(EventExecutor blocked) throws Exception {
		HttpFrontend draining = new HttpFrontend(this.loops, LIMITS, this::accept);
		InetSocketAddress target = draining.bind(new InetSocketAddress("127.0.0.1", 0)).get();
		CountDownLatch release = new CountDownLatch(1);
		try (HttpCaller first = idleCaller(target); HttpCaller second = idleCaller(target)) {
			blocked.submit(() -> release.await(20, TimeUnit.SECONDS));
			draining.drain();
			boolean closed = first.endsWithin(200) || second.endsWithin(200);
			boolean listening = accepts(target);
			assertFalse(closed && listening, "closed while new connections are accepted");
			release.countDown();
			assertEquals(first.readToEnd() + second.readToEnd(), "");
			assertFalse(accepts(target));
			return listening;
		}
		finally {
			release.countDown();
			draining.close();
		}
	}

	private static HttpCaller idleCaller(InetSocketAddress target) throws IOException {
		HttpCaller caller = new HttpCaller(target);
		caller.send("GET /nothing HTTP/1.1\r\n\r\n").readUntil("requestId\":\"\"}");
		return caller;
	}

	private static boolean accepts(InetSocketAddress target) {
		try {
			new HttpCaller(target).close();
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Test
	public void theTotalSizeOfTheBodiesOfAllConnectionsIsLimited() throws Exception {
		HttpLimits limits = new HttpLimits(1_024, 2_048, 100, 1_000, 150, 20_000, 60_000);
		HttpFrontend small = new HttpFrontend(this.loops, limits, this::accept);
		InetSocketAddress target = small.bind(new InetSocketAddress("127.0.0.1", 0)).get();
		String post = "POST /pools/chat/x HTTP/1.1\r\nContent-Length: 100\r\n\r\n";
		try (HttpCaller first = new HttpCaller(target); HttpCaller second = new HttpCaller(target)) {
			first.send(post + "x".repeat(100));
			nextCall();
			second.send(post + "x".repeat(100));
			assertTrue(second.readUntil("requestId").contains("queue-full"));
		}
		finally {
			small.close();
		}
	}

	private void assertRefused(String request, String status, String body) throws Exception {
		try (HttpCaller caller = new HttpCaller(this.address)) {
			String response = caller.send(request).readToEnd();
			assertTrue(response.startsWith("HTTP/1.1 " + status), response);
			assertTrue(response.contains(body), response);
			assertTrue(this.calls.isEmpty());
		}
	}

	private RoutedCall accept(RoutedRequest request, ResponseSink sink) {
		Call call = new Call(request, sink);
		this.calls.add(call);
		return call;
	}

	/**
	 * Wait until the event loops have run all tasks submitted so far.
	 */
	private void awaitLoops() {
		this.loops.forEach((loop) -> loop.submit(() -> {
		}).awaitUninterruptibly());
	}

	private Call nextCall() throws InterruptedException {
		Call call = this.calls.poll(20, TimeUnit.SECONDS);
		assertNotNull(call, "no request arrived");
		return call;
	}

	private static ResponseHead head() {
		return ResponseHead.newBuilder().setStatus(200).setServer("a").build();
	}

	private static final class Call implements RoutedCall {

		private final RoutedRequest request;

		private final ResponseSink sink;

		private final AtomicLong consumed = new AtomicLong();

		private final Semaphore cancelled = new Semaphore(0);

		private Call(RoutedRequest request, ResponseSink sink) {
			this.request = request;
			this.sink = sink;
		}

		@Override
		public void consumed(long bytes) {
			this.consumed.addAndGet(bytes);
		}

		@Override
		public void cancel() {
			this.cancelled.release();
		}

	}

}

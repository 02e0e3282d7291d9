package org.acaciamux.internal.coordination.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.transport.http.PlatformHttpClient;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against reporting a write that may have taken effect as one that did not, or the
 * reverse, and against sending calls that exceed the budget or are no longer wanted.
 */
public class HttpObjectStoreTests {

	private static final String OBJECT = "{\"kind\":\"K\",\"name\":\"a b\",\"version\":7,\"value\":{\"x\":1}}";

	private final List<String> requestLines = new CopyOnWriteArrayList<>();

	private EventLoopGroup group;

	private ServerSocket server;

	private PlatformHttpClient client;

	private HttpObjectStore store;

	/**
	 * Raw response to each request. Empty closes the connection without a response;
	 * {@code wait} sends none until the client closes the connection.
	 */
	private volatile String response = "";

	@BeforeMethod
	public void start() throws IOException {
		this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.requestLines.clear();
		Thread thread = new Thread(this::serve, "platform-stand-in");
		thread.setDaemon(true);
		thread.start();
		this.client = client(this.server.getLocalPort());
		this.store = new HttpObjectStore(this.client, new CallBudget(System::nanoTime, 1000, 100), 10_000);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.client.close();
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void anObjectIsReadWithItsVersion() {
		respond(200, OBJECT);
		StoredObject object = await(this.store.get("K", "a b")).get();
		assertEquals(object.version() + " " + object.value() + " " + this.requestLines,
				"7 {\"x\":1} [GET /v1/objects/K/a%20b HTTP/1.1]");
	}

	/**
	 * A list has objects of many writers.
	 */
	@Test
	public void anObjectThatCannotBeReadSpoilsNoOther() {
		String deep = "{\"kind\":\"K\",\"name\":\"b\",\"version\":8,\"value\":" + "[".repeat(5_000) + "]".repeat(5_000)
				+ "}";
		String big = "{\"kind\":\"K\",\"name\":\"c\",\"version\":9,\"value\":" + "7".repeat(2_000) + "}";
		respond(200, "{\"revision\":9,\"items\":[" + deep + "," + big + "," + OBJECT + "]}");
		List<StoredObject> objects = await(this.store.list("K")).get().items();
		assertEquals(objects.stream().map(StoredObject::name).toList(), List.of("b", "c", "a b"));
	}

	@Test
	public void aConflictCarriesTheCurrentObject() {
		respond(409, OBJECT);
		StoreFailure failure = put();
		assertEquals(failure.kind() + " " + failure.current().orElseThrow().version(), "CONFLICT 7");
	}

	@Test
	public void aWriteToADeletedObjectIsAConflictWithoutAnObject() {
		respond(404, "{}");
		StoreFailure failure = put();
		assertEquals(failure.kind() + " " + failure.current().isPresent(), "CONFLICT false");
	}

	@Test
	public void aWriteRefusedInAnOutageTookNoEffect() {
		respond(503, "{}");
		assertEquals(put().kind(), Kind.UNAVAILABLE);
	}

	@Test
	public void aWriteWhoseConnectionBreaksMayHaveTakenEffect() {
		this.response = "";
		assertEquals(put().kind(), Kind.NO_ANSWER);
	}

	@Test
	public void aWriteWithAnInternalErrorMayHaveTakenEffect() {
		respond(500, "{}");
		assertEquals(put().kind(), Kind.NO_ANSWER);
	}

	@Test
	public void aTruncatedResponseMayHaveTakenEffect() {
		this.response = "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"kind\"";
		assertEquals(put().kind(), Kind.NO_ANSWER);
	}

	@Test
	public void aWriteThatTimesOutMayHaveTakenEffect() {
		this.response = "wait";
		this.store = new HttpObjectStore(this.client, new CallBudget(System::nanoTime, 1000, 100), 50);
		assertEquals(put().kind(), Kind.NO_ANSWER);
	}

	@Test
	public void aWriteWithoutAConnectionWasNotSent() throws IOException {
		this.server.close();
		assertEquals(put().kind(), Kind.UNAVAILABLE);
	}

	@Test
	public void aCallBeyondTheBudgetIsNotSent() {
		respond(200, OBJECT);
		this.store = new HttpObjectStore(this.client, new CallBudget(() -> 0, 1, 1), 10_000);
		await(this.store.get("K", "a"));
		Kind second = await(this.store.get("K", "a")).getLeft().kind();
		assertEquals(second + " " + this.requestLines.size(), "UNAVAILABLE 1");
	}

	@Test
	public void aWatchFromAnOldRevisionIsCompacted() {
		respond(410, "{}");
		assertEquals(await(this.store.watch(Set.of("K"), 3, 100)).getLeft().kind(), Kind.COMPACTED);
	}

	@Test
	public void aWatchDistinguishesDeletionsFromWrites() {
		respond(200, "{\"revision\":9,\"events\":[{\"type\":\"DELETE\",\"object\":" + OBJECT + "}]}");
		ObjectStore.Changes changes = await(this.store.watch(Set.of("K", "A"), 3, 100)).get();
		assertTrue(changes.revision() == 9 && changes.changes().get(0).deleted());
	}

	@Test
	public void vmsThatLeaveAreMarked() {
		respond(200,
				"{\"revision\":4,\"vms\":[{\"id\":\"a1\",\"role\":\"agent\",\"address\":\"127.0.0.1\","
						+ "\"peerPort\":5,\"httpPort\":0,\"region\":\"r\",\"failureDomain\":\"d\",\"pool\":\"p\","
						+ "\"state\":\"leaving\"}]}");
		HttpVmDirectory directory = new HttpVmDirectory(this.client, new CallBudget(System::nanoTime, 10, 10), 10_000);
		assertEquals(await(directory.list()).get().vms(),
				List.of(new VmDirectory.VmEntry("a1", "agent", "127.0.0.1", 5, 0, "r", "d", "p", true)));
	}

	@Test
	public void aCallThatIsNoLongerWantedWhenItsConnectionOpensIsNotSent() {
		PlatformHttpClient.Reply reply = this.client
			.call(HttpMethod.POST, "/v1/orders", new byte[0], 5_000, () -> false)
			.toCompletableFuture()
			.orTimeout(20, TimeUnit.SECONDS)
			.join();
		assertTrue(reply instanceof PlatformHttpClient.Reply.NotSent, reply.toString());
		assertEquals(this.requestLines.size(), 0);
	}

	@Test
	public void waitingWatchesSlowTheRefillOfTheBudget() {
		long[] now = { 0 };
		CallBudget budget = new CallBudget(() -> now[0], 4, 4);
		for (int i = 0; i < 3; i++) {
			budget.tryWatch();
		}
		budget.tryCall();
		now[0] = TimeUnit.SECONDS.toNanos(1);
		assertTrue(budget.tryCall() && !budget.tryCall());
	}

	private StoreFailure put() {
		return await(this.store.put("K", "a", 3, JsonNodeFactory.instance.objectNode())).getLeft();
	}

	private void respond(int status, String body) {
		this.response = "HTTP/1.1 " + status + " S\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
	}

	private PlatformHttpClient client(int port) {
		return new PlatformHttpClient(this.group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5_000,
				16);
	}

	private static <T> Either<StoreFailure, T> await(CompletionStage<Either<StoreFailure, T>> stage) {
		return CompletableFuture.completedFuture(0)
			.thenCombine(stage, (ignored, result) -> result)
			.orTimeout(20, TimeUnit.SECONDS)
			.join();
	}

	/** Serves connections one at a time; each gets the raw response once. */
	private void serve() {
		while (!this.server.isClosed()) {
			try (Socket socket = this.server.accept()) {
				String line = readLine(socket);
				this.requestLines.add(line);
				if ("wait".equals(this.response)) {
					while (socket.getInputStream().read() >= 0) {
						Thread.onSpinWait();
					}
				}
				while (socket.getInputStream().available() > 0) {
					socket.getInputStream().read();
				}
				socket.getOutputStream().write(this.response.getBytes(StandardCharsets.UTF_8));
				socket.shutdownOutput();
				socket.getInputStream().readAllBytes();
			}
			catch (IOException ex) {
				// The connection is gone; the next one is accepted.
			}
		}
	}

	private static String readLine(Socket socket) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = socket.getInputStream().read();
		while (next >= 0 && next != '\n') {
			line.append((char) next);
			next = socket.getInputStream().read();
		}
		return line.toString().strip();
	}

}

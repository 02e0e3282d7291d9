package org.acaciamux.internal.coordination.order;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;

import org.acaciamux.internal.transport.http.PlatformHttpClient;
import org.acaciamux.internal.transport.http.PlatformHttpClient.Reply;

/**
 * Sends orders to a model engine over HTTP. Invariant: each call has a connection of its
 * own, so that no second response to another call is taken for the response to an order.
 * Thread-safe.
 */
public final class HttpBackendOrders implements BackendOrders, AutoCloseable {

	private static final ObjectMapper mapper = new ObjectMapper();

	private static final long DESCRIBE_TIMEOUT_MS = 2_000;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int MAX_CONNECTIONS = 2;

	private static final byte[] NO_BODY = {};

	private final PlatformHttpClient client;

	private final long loadMs;

	/**
	 * Create a client for the orders of one backend server.
	 * @param group the event loops; the caller shuts them down after this client
	 * @param address the address of the backend server
	 * @param loadMs longest duration of a load in milliseconds, the timeout of an order
	 */
	public HttpBackendOrders(EventLoopGroup group, InetSocketAddress address, long loadMs) {
		this.client = PlatformHttpClient.withoutReuse(group, address, CONNECT_TIMEOUT_MS, MAX_CONNECTIONS);
		this.loadMs = loadMs;
	}

	@Override
	public CompletionStage<ServerState> describe() {
		return this.client.call(HttpMethod.GET, "/v1/health", NO_BODY, DESCRIBE_TIMEOUT_MS)
			.thenApply(HttpBackendOrders::state);
	}

	@Override
	public CompletionStage<Result> load(LoadOrder order, BooleanSupplier stillValid) {
		byte[] body = json(order).toString().getBytes(StandardCharsets.UTF_8);
		return this.client.call(HttpMethod.POST, "/v1/orders", body, this.loadMs, stillValid)
			.thenApply(HttpBackendOrders::result);
	}

	@Override
	public void close() {
		this.client.close();
	}

	private static ObjectNode json(LoadOrder order) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("fence", order.fence());
		node.put("action", "load");
		node.put("version", order.version());
		ArrayNode adapters = node.putArray("adapters");
		order.adapters().forEach(adapters::add);
		return node;
	}

	private static ServerState state(Reply reply) {
		if (reply instanceof Reply.NotSent) {
			return new ServerState(Reachability.DOWN, "", List.of(), false);
		}
		if (!(reply instanceof Reply.Response response) || response.status() != 200) {
			return new ServerState(Reachability.SILENT, "", List.of(), false);
		}
		try {
			JsonNode node = mapper.readTree(response.body());
			List<String> adapters = new ArrayList<>();
			node.path("adapters").forEach((adapter) -> adapters.add(adapter.asText()));
			return new ServerState(Reachability.UP, node.path("version").asText(), adapters,
					node.path("loading").asBoolean());
		}
		catch (IOException ex) {
			return new ServerState(Reachability.SILENT, "", List.of(), false);
		}
	}

	private static Result result(Reply reply) {
		if (reply instanceof Reply.NotSent) {
			return Result.NOT_SENT;
		}
		if (!(reply instanceof Reply.Response response)) {
			return Result.NO_ANSWER;
		}
		if (response.status() / 100 == 2) {
			return Result.DONE;
		}
		return (response.status() == 409) ? Result.STALE : Result.FAILED;
	}

}

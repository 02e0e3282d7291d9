package org.acaciamux.internal.transport.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;

import org.acaciamux.internal.coordination.admission.Backend;
import org.acaciamux.internal.coordination.admission.ChatCache;

/**
 * HTTP client for the backend server of this agent. Invariants: a request is written at
 * most once, and {@link Backend.Break#NOT_SENT} is reported only if no byte of it was
 * written. Thread-safe.
 */
public final class BackendClient implements Backend, ChatCache, AutoCloseable {

	private static final int OK = 200;

	private static final String CONTROL_PRIORITY = "control";

	private final EventLoopGroup group;

	private final BackendSettings settings;

	private final BackendConnections connections;

	private final BooleanSupplier modelEngine;

	private final String authority;

	/**
	 * Create a client; connections are opened on first use.
	 * @param group the event loops to run on; not closed by this client
	 * @param settings the settings
	 */
	public BackendClient(EventLoopGroup group, BackendSettings settings) {
		this(group, settings, settings::model);
	}

	/**
	 * Create a client for a server that may or may not be a model engine, which is known
	 * only once the record of its pool has arrived.
	 * @param group the event loops to run on; not closed by this client
	 * @param settings the settings; {@link BackendSettings#model()} is not used
	 * @param modelEngine whether the server is a model engine, asked at each use
	 */
	public BackendClient(EventLoopGroup group, BackendSettings settings, BooleanSupplier modelEngine) {
		this.group = group;
		this.settings = settings;
		this.modelEngine = modelEngine;
		this.connections = new BackendConnections(group, settings);
		this.authority = settings.host() + ":" + settings.port();
	}

	@Override
	public Call start(BackendRequest request, Listener listener) {
		BackendExchange exchange = new BackendExchange(request, listener, this.connections, this.authority,
				(close) -> cancelOnServer(request, close));
		exchange.start();
		return exchange;
	}

	private void cancelOnServer(BackendRequest request, Runnable close) {
		// A model engine is asked to cancel before the connection is closed, so that its
		// slot is free when the agent counts the request as ended. A plain service has no
		// endpoint for that, so only its connection is closed.
		if (!this.modelEngine.getAsBoolean()) {
			close.run();
			return;
		}
		control("POST", "/v1/cancel/" + request.requestId(), ByteString.EMPTY).whenComplete((reply, ex) -> close.run());
	}

	@Override
	public CompletionStage<Health> probe() {
		return control("GET", "/v1/health", ByteString.EMPTY).thenApply(ControlReplyListener.Reply::health);
	}

	@Override
	public CompletionStage<Optional<ByteString>> exportChat(String chat) {
		if (!this.modelEngine.getAsBoolean()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		String body = JsonNodeFactory.instance.objectNode().put("chat", chat).toString();
		return control("POST", "/v1/kv/export", ByteString.copyFromUtf8(body))
			.thenApply((reply) -> Optional.of(reply.body()).filter((exported) -> reply.ok() && reply.endMarked()));
	}

	@Override
	public CompletionStage<Boolean> importChat(ByteString cache) {
		if (!this.modelEngine.getAsBoolean()) {
			return CompletableFuture.completedFuture(false);
		}
		return control("POST", "/v1/kv/import", cache).thenApply(ControlReplyListener.Reply::ok);
	}

	private CompletableFuture<ControlReplyListener.Reply> control(String method, String path, ByteString body) {
		ControlReplyListener listener = new ControlReplyListener();
		BackendRequest request = new BackendRequest("control", CONTROL_PRIORITY, false, method, path, List.of(), body);
		BackendExchange exchange = new BackendExchange(request, listener, this.connections, this.authority,
				Runnable::run);
		exchange.start();
		this.group.next().schedule(() -> {
			listener.timeOut();
			exchange.cancel();
		}, this.settings.probeTimeoutMs(), TimeUnit.MILLISECONDS);
		return listener.reply();
	}

	@Override
	public void close() {
		this.connections.close();
	}

	static boolean isOk(int status) {
		return status == OK;
	}

}

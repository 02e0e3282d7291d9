package org.acaciamux.internal.transport.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;

import org.acaciamux.internal.coordination.admission.Backend;

/**
 * HTTP client to the backend server beside this agent. Invariants: a request is written
 * at most once, and {@link Backend.Break#NOT_SENT} is reported only if no byte of it was
 * written. Thread-safe.
 */
public final class BackendClient implements Backend, AutoCloseable {

	private static final int OK = 200;

	private static final String PRIORITY_OF_CONTROL = "control";

	private final EventLoopGroup group;

	private final BackendSettings settings;

	private final BackendConnections connections;

	private final String authority;

	/**
	 * Create a client; connections are opened on first use.
	 * @param group the event loops to run on; not closed by this client
	 * @param settings the settings
	 */
	public BackendClient(EventLoopGroup group, BackendSettings settings) {
		this.group = group;
		this.settings = settings;
		this.connections = new BackendConnections(group, settings);
		this.authority = settings.host() + ":" + settings.port();
	}

	@Override
	public Call start(BackendRequest request, Listener listener) {
		BackendExchange exchange = new BackendExchange(request, listener, this.connections, this.authority,
				(close) -> stopInServer(request, close));
		exchange.start();
		return exchange;
	}

	private void stopInServer(BackendRequest request, Runnable close) {
		// A model engine is asked to cancel before the connection is closed, so that its
		// slot is free when the agent counts the request as ended. A plain service only
		// sees the connection close.
		if (!this.settings.model()) {
			close.run();
			return;
		}
		control("POST", "/v1/cancel/" + request.requestId(), ByteString.EMPTY).whenComplete((reply, ex) -> close.run());
	}

	@Override
	public CompletionStage<Health> probe() {
		return control("GET", "/v1/health", ByteString.EMPTY).thenApply(BackendControl.Reply::health);
	}

	private CompletableFuture<BackendControl.Reply> control(String method, String path, ByteString body) {
		BackendControl control = new BackendControl();
		BackendRequest request = new BackendRequest("control", PRIORITY_OF_CONTROL, false, method, path, List.of(),
				body);
		BackendExchange exchange = new BackendExchange(request, control, this.connections, this.authority,
				Runnable::run);
		exchange.start();
		this.group.next().schedule(() -> {
			control.timeOut();
			exchange.cancel();
		}, this.settings.probeTimeoutMs(), TimeUnit.MILLISECONDS);
		return control.reply();
	}

	@Override
	public void close() {
		this.connections.close();
	}

	static boolean isOk(int status) {
		return status == OK;
	}

}

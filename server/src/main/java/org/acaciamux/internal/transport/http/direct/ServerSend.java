package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.handler.codec.http.FullHttpRequest;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.settings.Endpoint;

/**
 * One send of a request to a backend server, from the choice of the server until its
 * response has ended or the send is given up. Invariants: the server counts the request
 * as in flight until {@link #end}; a connection that is opened after the end is released
 * unused. Confined to the event loop.
 */
final class ServerSend {

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final ServerState server;

	private final AdmittedRequest admitted;

	private final Optional<Endpoint> promptSource;

	private final String choice;

	private int pendingTokens;

	private ServerChannel channel;

	private long sentAt;

	private long lastDataAt;

	private boolean headReceived;

	private boolean dataReceived;

	private boolean readingPaused;

	private boolean silenceReported;

	private boolean ended;

	/**
	 * Create a send, which counts as in flight at the server from now on.
	 * @param context the shared components
	 * @param admitted the request
	 * @param server the server
	 */
	ServerSend(DirectContext context, AdmittedRequest admitted, ServerState server) {
		this.context = context;
		this.admitted = admitted;
		this.server = server;
		this.choice = server.describe(admitted.request().prompt(), context.now());
		this.promptSource = context.placement()
			.promptSource(admitted.service(), admitted.request(), server)
			.map((source) -> source.entry().address());
		this.pendingTokens = server.started(admitted.request().prompt());
	}

	ServerState server() {
		return this.server;
	}

	String serverId() {
		return this.server.entry().id();
	}

	/**
	 * Describe the inputs of the choice of the server for the log.
	 * @return the inputs
	 */
	String choice() {
		return this.choice;
	}

	/**
	 * Return the server from which the chosen one copies prompt parts.
	 * @return its address, empty if it copies none
	 */
	Optional<Endpoint> promptSource() {
		return this.promptSource;
	}

	/**
	 * Get a connection to the server.
	 * @param action receives the connection, or the reason why there is none, unless the
	 * send has ended by then
	 */
	void connect(Consumer<Either<ServerChannels.Unavailable, ServerChannel>> action) {
		ServerChannels channels = this.context.channels();
		channels.acquire(this.server, this.context.maxConnections(this.admitted.service()), (result) -> {
			if (this.ended) {
				result.forEach(channels::release);
				return;
			}
			action.accept(result);
		});
	}

	/**
	 * Send the request.
	 * @param to the connection
	 * @param message the request as the server gets it
	 * @param listener receives the response
	 */
	void transmit(ServerChannel to, FullHttpRequest message, ServerChannel.ServerListener listener) {
		this.sentAt = this.context.now();
		this.lastDataAt = this.sentAt;
		this.channel = to;
		to.send(message, this.admitted.request().attemptId(), this.admitted.route().streaming(), listener);
	}

	/**
	 * Return whether the request was sent and its response has not ended.
	 * @return whether a response is expected
	 */
	boolean awaitsResponse() {
		return this.channel != null;
	}

	long sentAt() {
		return this.sentAt;
	}

	void headReceived() {
		this.headReceived = true;
		this.lastDataAt = this.context.now();
	}

	void dataReceived() {
		this.dataReceived = true;
		this.lastDataAt = this.context.now();
		this.silenceReported = false;
		this.server.promptRead(this.pendingTokens);
		this.pendingTokens = 0;
	}

	/**
	 * Return whether the response has begun.
	 * @param streaming whether it begins with its first event instead of its head
	 * @return whether it has
	 */
	boolean responding(boolean streaming) {
		return streaming ? this.dataReceived : this.headReceived;
	}

	void setReading(boolean reading) {
		if (this.channel == null) {
			return;
		}
		if (reading && this.readingPaused) {
			this.lastDataAt = this.context.now();
		}
		this.readingPaused = !reading;
		this.channel.setReading(reading);
	}

	/**
	 * Return how long the server has sent nothing.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, 0 while the router itself does not read
	 */
	long silentMs(long now) {
		return this.readingPaused ? 0 : (now - this.lastDataAt) / NANOS_PER_MS;
	}

	/**
	 * Tell placement once for each period of silence that the server does not respond.
	 * @param now the monotonic time in nanoseconds
	 */
	void reportSilence(long now) {
		if (!this.silenceReported) {
			this.silenceReported = true;
			this.server.failedToReach(now);
		}
	}

	/**
	 * End the send, and close its connection, so that the server stops its work.
	 */
	void cancel() {
		if (this.channel != null) {
			this.channel.cancel();
		}
		end();
	}

	/**
	 * End the send. Has no effect if it has ended.
	 */
	void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.channel = null;
		this.server.promptRead(this.pendingTokens);
		this.pendingTokens = 0;
		this.server.ended();
	}

}

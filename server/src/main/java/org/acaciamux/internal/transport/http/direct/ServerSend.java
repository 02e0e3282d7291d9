package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.PromptRun;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.speed.ServerSpeed;
import org.acaciamux.settings.Endpoint;

/**
 * One send of a request to a backend server, from the choice of the server until its
 * response has ended or the send is given up. Invariants: the server counts the request
 * as in flight until {@link #end}; a connection that is opened after the end is released
 * unused. Confined to the event loop.
 */
final class ServerSend implements ServerListener {

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final ServerState server;

	private final AdmittedRequest admitted;

	private final Optional<Endpoint> promptSource;

	private final String choice;

	private final CrashHistory crashes;

	private final PromptRun promptRun;

	private final SendTrace trace;

	private final double waitShare;

	private int pendingTokens;

	private Optional<ServerSpeed.Run> speedRun = Optional.empty();

	private ServerChannel channel;

	private long sentAt;

	private long lastDataAt;

	private boolean headReceived;

	private int status;

	private boolean dataReceived;

	private boolean readingPaused;

	private boolean ended;

	private Listener listener;

	/**
	 * Create a send, which counts as in flight at the server from now on.
	 * @param context the shared components
	 * @param admitted the request
	 * @param server the server
	 * @param crashes the crashes of servers that were running the request
	 */
	ServerSend(DirectContext context, AdmittedRequest admitted, ServerState server, CrashHistory crashes) {
		this.context = context;
		this.admitted = admitted;
		this.server = server;
		this.trace = new SendTrace(server.entry().id());
		this.choice = server.describe(admitted.request().prompt(), context.now());
		this.promptSource = context.placement()
			.promptSource(admitted.service(), admitted.request(), server)
			.map((source) -> source.entry().address());
		this.waitShare = server.estimate(context.now()).waitShare();
		this.pendingTokens = server.started(admitted.request().prompt());
		this.crashes = crashes;
		this.promptRun = crashes.started(admitted.service());
	}

	PromptRun promptRun() {
		return this.promptRun;
	}

	ServerState server() {
		return this.server;
	}

	String serverId() {
		return this.server.entry().id();
	}

	/**
	 * Return what the log tells of the send.
	 * @return the trace, which is kept up to date
	 */
	SendTrace trace() {
		return this.trace;
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
		int limit = this.context.maxConnections(this.admitted.service());
		channels.acquire(this.server, this.admitted.request().attemptId(), limit, (result) -> {
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
	 * @param receiver receives the response
	 */
	void transmit(ServerChannel to, FullHttpRequest message, Listener receiver) {
		this.listener = receiver;
		this.sentAt = this.context.now();
		this.lastDataAt = this.sentAt;
		this.speedRun = Optional.of(this.server.speed().started(workUnits(this.admitted.request()), this.sentAt));
		this.channel = to;
		this.context.evacuatedSends().add(this);
		this.trace.sent(this.sentAt, to.describe());
		if (!to.active()) {
			this.context.warmup().putBack(this.server);
		}
		to.send(message, this.admitted.request().attemptId(), this.admitted.route().streaming(), this);
	}

	// The duration of a generated response depends on the number of its tokens.
	private static double workUnits(CallerRequest request) {
		return request.prompt().isEmpty() ? 1 : request.maxOutputTokens();
	}

	/**
	 * Return whether the request was sent and its response has not ended.
	 * @return whether a response is expected
	 */
	boolean awaitsResponse() {
		return this.channel != null;
	}

	/**
	 * Return how long the request was expected to wait for a slot when the server was
	 * chosen.
	 * @return the time as a multiple of the duration of a request
	 */
	double waitShare() {
		return this.waitShare;
	}

	long sentAt() {
		return this.sentAt;
	}

	@Override
	public void skipped(DroppedResponse response) {
		this.trace.skipped(response);
	}

	@Override
	public void head(HttpResponse head, WireFormat.ServerReply reply) {
		this.headReceived = true;
		this.status = head.status().code();
		this.lastDataAt = this.context.now();
		this.trace.head(this.lastDataAt, this.status);
		reply.load().ifPresent((load) -> this.server.reported(load, this.lastDataAt));
		// A misdirected request was answered by another server.
		if (!head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
			reply.coldMs().ifPresent((ms) -> this.context.warmup().reported(this.server, ms));
		}
		this.listener.head(this, head, reply);
	}

	@Override
	public void data(ByteBuf data) {
		if (this.ended) {
			return;
		}
		this.dataReceived = true;
		this.lastDataAt = this.context.now();
		if (HttpStatusClass.SUCCESS.contains(this.status)) {
			this.promptRun.data(this.lastDataAt);
		}
		this.server.promptRead(this.pendingTokens);
		this.pendingTokens = 0;
		this.listener.data(this, data);
	}

	@Override
	public void completed(boolean endMarked) {
		this.trace.ended(this.context.now());
		if (endMarked && HttpStatusClass.SUCCESS.contains(this.status)) {
			this.speedRun.ifPresent((run) -> this.server.speed().completed(run, this.context.now()));
		}
		if (endMarked) {
			this.promptRun.completed();
		}
		else {
			this.crashes.endedWithConnection(this);
		}
		this.listener.completed(this, endMarked);
	}

	/**
	 * Return the status of the response.
	 * @return the status, 0 if its head has not arrived
	 */
	int status() {
		return this.status;
	}

	@Override
	public void broken(SendResult result, String reason) {
		this.trace.ended(this.context.now());
		this.listener.broken(this, result, reason);
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
	 * End the send, and close its connection, so that the server stops its work.
	 */
	void cancel() {
		if (this.channel != null) {
			this.channel.cancel();
		}
		end();
	}

	/**
	 * Give up the send, because the request may not have arrived at the server and must
	 * not arrive later.
	 * @param reason the cause, for the log
	 */
	void abort(String reason) {
		cancel();
		broken(SendResult.SILENT, reason);
	}

	/**
	 * End the send. Has no effect if it has ended.
	 */
	void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.context.evacuatedSends().remove(this);
		this.trace.ended(this.context.now());
		this.channel = null;
		this.server.promptRead(this.pendingTokens);
		this.pendingTokens = 0;
		this.promptRun.ended();
		this.speedRun.ifPresent(this.server.speed()::ended);
		this.server.ended();
	}

	/**
	 * Receives the response of a send. No call follows {@link #completed} or
	 * {@link #broken}.
	 */
	interface Listener {

		/**
		 * The head of the response arrived.
		 * @param send the send
		 * @param head the head
		 * @param reply what the server states in its headers
		 */
		void head(ServerSend send, HttpResponse head, WireFormat.ServerReply reply);

		/**
		 * A part of the body arrived.
		 * @param send the send
		 * @param data the part, valid during the call
		 */
		void data(ServerSend send, ByteBuf data);

		/**
		 * The response is complete.
		 * @param send the send
		 * @param proved whether a length, chunks or the life of the server show that it
		 * is
		 */
		void completed(ServerSend send, boolean proved);

		/**
		 * The response will not be completed.
		 * @param send the send
		 * @param result how the send ended
		 * @param reason the cause, for the log
		 */
		void broken(ServerSend send, SendResult result, String reason);

	}

}

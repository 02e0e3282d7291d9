package org.acaciamux.internal.transport.http.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.AttemptPolicy.Decision;
import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.Organisation;
import org.acaciamux.internal.coordination.direct.ResponsePolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServiceRoute;
import org.acaciamux.internal.coordination.direct.SilencePolicy;
import org.acaciamux.internal.coordination.direct.TrafficConfig;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.transport.http.BodyFraming;
import org.acaciamux.settings.Endpoint;

/**
 * One request of a caller from its arrival to its final response. Invariants: exactly one
 * final response, or the caller's connection closes; at most one send is in progress;
 * after a send without a usable response {@link AttemptPolicy} decides how to continue.
 * Confined to the event loop.
 */
final class DirectExchange implements ServerChannel.ServerListener {

	/**
	 * Longest wait for the first configuration, in milliseconds: half of the time that
	 * callers allow for opening a connection.
	 */
	private static final long START_WAIT_MS = 500;

	private static final long NANOS_PER_MS = 1_000_000;

	private final Set<String> tried = new HashSet<>();

	private final DirectContext context;

	private final DirectCaller caller;

	private final HttpRequest head;

	private final ByteBuf body;

	private final long startedAt;

	private final ExchangeLog log;

	private CallerRequest request;

	private ServiceRoute route;

	private String service = "";

	private Optional<Organisation> organisation = Optional.empty();

	private AttemptPolicy policy;

	private ServerState server;

	private ServerChannel channel;

	private ResponseRelay relay;

	private int pendingTokens;

	private long slotFreeMs;

	private Admission.WaitClass waitClass;

	private Optional<Endpoint> promptSource = Optional.empty();

	private boolean ended;

	private int sends;

	private int acquisitionNumber;

	private long deadlineAt;

	private long sentAt;

	private long lastDataAt;

	private CrashHistory crashes;

	DirectExchange(DirectContext context, DirectCaller caller, HttpRequest head, ByteBuf body) {
		this.context = context;
		this.caller = caller;
		this.head = head;
		this.body = body;
		this.startedAt = context.now();
		this.log = new ExchangeLog(context, this.startedAt);
	}

	/**
	 * Accept the request. A router that has just started receives its configuration
	 * within milliseconds, so requests that arrive earlier wait instead of being refused.
	 */
	void accept() {
		this.context.add(this);
		this.context.metrics().request();
		if (this.context.serviceable()) {
			start();
			return;
		}
		this.deadlineAt = this.startedAt + START_WAIT_MS * NANOS_PER_MS;
		this.context.addWaiting(this);
	}

	void start() {
		Either<String, CallerRequest> parsed = this.context.format().request(this.head);
		if (parsed.isLeft()) {
			finish(HttpResponseStatus.BAD_REQUEST, "invalid", parsed.getLeft());
			return;
		}
		this.request = parsed.get();
		this.log.request(this.request.attemptId());
		TrafficConfig config = this.context.config().orElseThrow();
		Optional<ServiceRoute> matchingRoute = config.route(this.request.host(), this.request.path());
		if (matchingRoute.isEmpty()) {
			finish(HttpResponseStatus.NOT_FOUND, "no-route", "no route in version " + config.version());
			return;
		}
		this.route = matchingRoute.get();
		this.log.route(this.route.name());
		if (config.needsKey(this.route)) {
			this.organisation = this.request.key().flatMap(config::organisation);
			if (this.organisation.isEmpty()) {
				finish(HttpResponseStatus.UNAUTHORIZED, "unknown-key", "key not in version " + config.version());
				return;
			}
		}
		admit();
	}

	private void admit() {
		this.policy = new AttemptPolicy(this.route);
		this.relay = new ResponseRelay(this.caller, this.route, this.context.heldBytes());
		this.service = this.route.service(StableHash.of(this.request.attemptId()));
		this.deadlineAt = this.startedAt + Math.min(this.request.waitMs(), this.route.timeoutMs()) * NANOS_PER_MS;
		this.waitClass = this.context.admission().arrived(this.route, this.organisation);
		this.context.budgets().recordRequest(this.service);
		this.crashes = new CrashHistory(this.context, this.request, this.organisation, this.body);
		send();
	}

	private void send() {
		if (this.context.now() >= this.deadlineAt) {
			conclude(this.policy.giveUp(relayStarted()), "the time limit has passed");
			return;
		}
		if (this.crashes.refused()) {
			conclude(this.policy.giveUp(relayStarted()),
					"request " + this.crashes + " was running at several servers when they crashed");
			return;
		}
		Optional<ServerState> chosen = this.context.placement().choose(this.service, this.request, this.tried);
		if (chosen.isEmpty()) {
			conclude(this.policy.giveUp(relayStarted()), "no backend server of " + this.service + " is available");
			return;
		}
		OptionalLong slotFreeMs = this.context.admission().refusal(chosen.get(), this.route, this.waitClass);
		if (slotFreeMs.isPresent()) {
			this.slotFreeMs = slotFreeMs.getAsLong();
			conclude(this.policy.giveUp(relayStarted()), "no slot is free in time, wait " + this.slotFreeMs + " ms for "
					+ this.waitClass + " at " + chosen.get().describe(this.request.prompt(), this.context.now()));
			return;
		}
		this.server = chosen.get();
		this.tried.add(this.server.entry().id());
		this.log.sent(this.server.describe(this.request.prompt(), this.context.now()));
		int requestedAcquisition = ++this.acquisitionNumber;
		this.promptSource = this.context.placement()
			.promptSource(this.service, this.request, this.server)
			.map((source) -> source.entry().address());
		this.pendingTokens = this.server.started(this.request.prompt());
		this.sentAt = 0;
		this.context.channels()
			.acquire(this.server, this.context.maxConnections(this.service),
					(result) -> acquired(requestedAcquisition, result));
	}

	private void acquired(int requestedAcquisition, Either<ServerChannels.Unavailable, ServerChannel> result) {
		if (requestedAcquisition != this.acquisitionNumber || this.ended) {
			result.forEach((unusedChannel) -> this.context.channels().release(unusedChannel));
			return;
		}
		if (result.isLeft()) {
			this.crashes.notConnected(result.getLeft(), this.server);
			broken(SendResult.NOT_SENT, result.getLeft().reason());
			return;
		}
		long now = this.context.now();
		long remaining = (this.deadlineAt - now) / NANOS_PER_MS;
		if (remaining < 1) {
			this.context.channels().release(result.get());
			releaseServer();
			conclude(this.policy.giveUp(relayStarted()), "the time limit passed before the request was sent");
			return;
		}
		this.sentAt = now;
		this.lastDataAt = now;
		this.channel = result.get();
		this.sends++;
		this.context.placements().add(this.server.entry().id(), this.request.prompt());
		WireFormat.Forwarding forwarding = new WireFormat.Forwarding(this.server.entry().id(), remaining,
				this.organisation.map(Organisation::name), this.relay.lastEventId(), this.promptSource);
		this.channel.send(OutgoingRequest.of(this.head, this.body, this.context.format(), forwarding),
				this.request.attemptId(), this.route.streaming(), this);
	}

	@Override
	public void head(HttpResponse head, WireFormat.ServerReply reply) {
		long now = this.context.now();
		this.lastDataAt = now;
		reply.load().ifPresent((load) -> this.server.reported(load, now));
		int status = head.status().code();
		this.log.head(BodyFraming.of(this.head.method(), head));
		Optional<SendResult> unusable = ResponsePolicy.unusable(status, reply.notRun(),
				reply.sealed() && !reply.encoded(), this.route.repeatable(), relayStarted());
		this.crashes.responded(status, this.server);
		if (unusable.isPresent()) {
			abandonSend(unusable.get(), "status " + status + (reply.notRun() ? ", not run" : ""));
			return;
		}
		this.server.recordResult(ResponsePolicy.failure(status));
		this.relay.head(head);
	}

	// Closes the connection, because the rest of the response will not be read.
	private void abandonSend(SendResult result, String reason) {
		ServerChannel abandoned = this.channel;
		this.channel = null;
		abandoned.cancel();
		broken(result, reason);
	}

	@Override
	public void data(ByteBuf data) {
		if (this.channel == null) {
			return;
		}
		recordData(data.readableBytes());
		boolean writable = this.relay.data(data);
		if (this.relay.tooLong()) {
			abandonSend(SendResult.BROKEN, "the response does not end");
			return;
		}
		if (!writable) {
			this.channel.setReading(false);
		}
	}

	private boolean relayStarted() {
		return this.relay.started();
	}

	private void recordData(int length) {
		this.lastDataAt = this.context.now();
		this.log.data(this.lastDataAt, length);
		this.server.promptRead(this.pendingTokens);
		this.pendingTokens = 0;
	}

	@Override
	public void end() {
		if (this.ended || this.channel == null) {
			return;
		}
		this.channel = null;
		this.context.admission().answered(this.service, (this.context.now() - this.sentAt) / NANOS_PER_MS);
		releaseServer();
		this.crashes.completed(this.relay.status());
		close("answered", "status " + this.relay.status());
		this.relay.end();
	}

	@Override
	public void broken(SendResult result, String reason) {
		if (this.ended) {
			return;
		}
		this.channel = null;
		this.relay.discard();
		if (!result.notRun()) {
			this.server.recordResult(true);
		}
		this.crashes.sendFailed(result, this.server);
		this.log.sendFailed(result, this.server.entry().id(), this.crashes, reason);
		releaseServer();
		Decision decision = this.policy.after(result, relayStarted());
		if (decision != Decision.SEND_AGAIN) {
			conclude(decision, reason);
			return;
		}
		if (!this.crashes.allowsResend(result)) {
			conclude(this.policy.giveUp(relayStarted()), "it has been running at crashed servers before: " + reason);
			return;
		}
		if (this.policy.nextIsRetry() && !this.context.budgets().tryRetry(this.service)) {
			conclude(this.policy.giveUp(relayStarted()), "the retry budget is used up after: " + reason);
			return;
		}
		if (this.policy.nextIsRetry()) {
			this.context.metrics().retry();
		}
		if (relayStarted()) {
			this.context.metrics().resume();
		}
		send();
	}

	private void releaseServer() {
		if (this.server == null) {
			return;
		}
		this.server.promptRead(this.pendingTokens);
		this.pendingTokens = 0;
		this.server.ended();
		this.server = null;
	}

	private void conclude(Decision decision, String reason) {
		switch (decision) {
			case REFUSE -> refuse(reason);
			case FAIL -> fail(reason);
			default -> {
				close("broken-off", reason);
				this.caller.breakOff();
			}
		}
	}

	private void refuse(String reason) {
		long leftMs = (this.deadlineAt - this.context.now()) / NANOS_PER_MS;
		double random = (StableHash.mix(this.startedAt) >>> 11) / (double) (1L << 53);
		// A caller that came back during a quarantine would be refused again.
		long quarantinedMs = (this.crashes != null) ? this.crashes.refusedForMs() : 0;
		long ms = Math.max(quarantinedMs, Admission.retryAfterMs(this.slotFreeMs, leftMs, random));
		close("refused", reason);
		this.caller.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, OutgoingHeaders.retryAfter(ms),
				Unpooled.EMPTY_BUFFER);
	}

	private void fail(String reason) {
		boolean late = this.context.now() >= this.deadlineAt;
		finish(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, "failed", reason);
	}

	private void finish(HttpResponseStatus status, String outcome, String reason) {
		close(outcome, status.code() + " " + reason);
		this.caller.respond(status, OutgoingHeaders.FACTORY.newHeaders(), Unpooled.EMPTY_BUFFER);
	}

	private void close(String outcome, String reason) {
		this.ended = true;
		this.acquisitionNumber++;
		this.context.remove(this);
		this.log.ended(outcome, reason, this.sends, this.tried);
	}

	void tick() {
		long now = this.context.now();
		if (this.ended || now < this.deadlineAt && this.route == null) {
			return;
		}
		if (this.route == null) {
			refuse("no configuration or no backend server is known yet");
			return;
		}
		if (now >= this.deadlineAt) {
			cancelSend();
			conclude(this.policy.giveUp(relayStarted()), "the time limit has passed");
			return;
		}
		if (this.channel != null) {
			checkSilence(now);
		}
	}

	private void checkSilence(long now) {
		long silentMs = (now - this.lastDataAt) / NANOS_PER_MS;
		boolean unresponsive = SilencePolicy.unresponsive((now - this.server.lastReceivedAt()) / NANOS_PER_MS);
		boolean responseStarted = (this.route.streaming()) ? this.log.hasData() : this.relay.status() != 0;
		if (!SilencePolicy.shouldGiveUp(this.route, silentMs, responseStarted, this.policy.arrivals() == 0,
				unresponsive)) {
			return;
		}
		if (unresponsive) {
			this.server.failedToReach(now);
		}
		if (this.route.repeatable()) {
			this.crashes.givenUp(this.server, this.sentAt, true);
			abandonSend(SendResult.SILENT, "no bytes for " + silentMs + " ms");
		}
	}

	private void cancelSend() {
		this.acquisitionNumber++;
		if (this.channel != null) {
			if (this.sentAt != 0) {
				this.crashes.givenUp(this.server, this.sentAt, this.context.now() >= this.deadlineAt);
				this.policy.after(SendResult.SILENT, relayStarted());
			}
			this.channel.cancel();
			this.channel = null;
			this.relay.discard();
		}
		releaseServer();
	}

	void callerWritable(boolean writable) {
		if (this.channel != null) {
			this.channel.setReading(writable);
		}
	}

	/**
	 * Cancel the request because the caller has closed its connection.
	 */
	void callerDisconnected() {
		if (!this.ended) {
			cancelSend();
			close("caller-left", "the caller closed its connection");
		}
	}

	void stop() {
		if (!this.ended && this.route == null) {
			refuse("the router is stopping");
		}
		else if (!this.ended) {
			cancelSend();
			conclude(this.policy.giveUp(relayStarted()), "the router is stopping");
		}
	}

}

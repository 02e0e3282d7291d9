package org.acaciamux.internal.transport.http.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.AttemptPolicy.Decision;
import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.Organisation;
import org.acaciamux.internal.coordination.direct.ResponsePolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServiceRoute;
import org.acaciamux.internal.state.StableHash;
import org.acaciamux.internal.transport.http.BodyFraming;

/**
 * One request of a caller from its arrival to its final response. Invariants: exactly one
 * final response, or the caller's connection closes; at most two sends are in progress,
 * two only while one takes over from a silent server or hedges a slow one; after a send
 * without a usable response {@link AttemptPolicy} decides how to continue. Confined to
 * the event loop.
 */
final class DirectExchange implements ServerSend.Listener {

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

	private final ExchangeEnd end;

	/** Null until the request is admitted. */
	private AdmittedRequest admitted;

	private AttemptPolicy policy;

	/** The send whose response the caller gets, null while there is none. */
	private ServerSend current;

	private RequestTransmission transmission;

	private SecondSend second;

	private SecondSends secondSends;

	private ResponseRelay relay;

	private DrainCheck drain;

	private long slotFreeMs;

	private long deadlineAt;

	private CrashHistory crashes;

	private SuspectHold hold;

	DirectExchange(DirectContext context, DirectCaller caller, HttpRequest head, ByteBuf body) {
		this.context = context;
		this.caller = caller;
		this.head = head;
		this.body = body;
		this.startedAt = context.now();
		this.log = new ExchangeLog(context, head, this.startedAt);
		this.end = new ExchangeEnd(context, caller, this, this.log, this.startedAt);
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
		if (this.context.drainTimes().filter((times) -> times.leftMs(this.startedAt) < START_WAIT_MS).isPresent()) {
			refuse("no configuration or no backend server is known, and the router stops");
			return;
		}
		this.context.addWaiting(this);
	}

	void start() {
		RequestLookup.find(this.context.format(), this.context.config().orElseThrow(), this.head, this.log)
			.peekLeft((invalid) -> this.end.respond(invalid.status(), invalid.outcome(), invalid.reason(), this.tried))
			.forEach((found) -> admit(found.request(), found.route(), found.organisation()));
	}

	private void admit(CallerRequest request, ServiceRoute route, Optional<Organisation> organisation) {
		String service = route.service(StableHash.of(request.attemptId()));
		this.deadlineAt = this.startedAt + Math.min(request.waitMs(), route.timeoutMs()) * NANOS_PER_MS;
		this.admitted = new AdmittedRequest(request, route, service, organisation,
				this.context.admission().arrived(route, organisation), this.deadlineAt);
		this.context.budgets().recordRequest(service);
		this.policy = new AttemptPolicy(route);
		this.relay = new ResponseRelay(this.caller, route, this.context.heldBytes());
		this.drain = new DrainCheck(this.context, this.admitted, this.policy, this.relay, this.end);
		this.crashes = new CrashHistory(this.context, request, organisation, this.body);
		this.hold = new SuspectHold(this.context, this.crashes);
		this.transmission = new RequestTransmission(this.context, this.admitted, this.head, this.body, this.relay,
				this.log, this);
		this.second = new SecondSend(this.context, this.admitted, this.policy, this.drain, this.crashes, this.relay,
				this.transmission);
		this.secondSends = new SecondSends(this.context, this.admitted, this.policy, this.crashes, this.second,
				this::takeOver, () -> tick(this.context.readUntil()));
		send();
	}

	private void send() {
		if (this.context.now() >= this.deadlineAt) {
			giveUp("the time limit has passed");
			return;
		}
		if (this.drain.end(this.tried) || stoppedByCrashes(this::send)) {
			return;
		}
		Either<ServerChoice.None, ServerState> chosen = ServerChoice.choose(this.context, this.admitted, this.tried,
				this.startedAt);
		if (chosen.isLeft()) {
			this.slotFreeMs = chosen.getLeft().slotFreeMs();
			if (!this.hold.waits(chosen.getLeft(), this::send)) {
				this.context.refusedForLoad(this.admitted.service());
				giveUp(chosen.getLeft().reason());
			}
			return;
		}
		this.current = new ServerSend(this.context, this.admitted, chosen.get(), this.crashes);
		this.tried.add(this.current.serverId());
		this.log.sent(this.current.choice());
		this.current.connect(this::connected);
	}

	// Returns whether the request is not sent now.
	private boolean stoppedByCrashes(Runnable next) {
		SuspectHold.Decision decision = this.hold.decide(next);
		if (decision.ends()) {
			giveUp("request " + this.crashes + " " + decision.reason());
		}
		return decision != SuspectHold.Decision.SEND;
	}

	private void connected(Either<ServerChannels.Unavailable, ServerChannel> result) {
		if (result.isLeft()) {
			notConnected(result.getLeft());
			return;
		}
		Optional<String> reason = this.hold.endsBeforeSend(this.admitted);
		if (reason.isEmpty() && this.drain.ending().isEmpty() && this.context.warmup().trySend(this.current.server())) {
			this.transmission.transmit(this.current, result.get());
			this.secondSends.sent(this.current);
			return;
		}
		this.context.channels().release(result.get());
		this.tried.remove(this.current.serverId());
		endSends();
		reason.ifPresentOrElse(this::giveUp, this::send);
	}

	private void notConnected(ServerChannels.Unavailable reason) {
		this.crashes.notConnected(reason, this.current.server());
		if (!this.context.servers().isEvacuated(this.current.server())) {
			broken(this.current, SendResult.NOT_SENT, reason.reason());
			return;
		}
		// The retry that this send may have taken was not used.
		recordFailure(this.current, SendResult.NOT_SENT, reason.reason());
		endSends();
		send();
	}

	@Override
	public void head(ServerSend send, HttpResponse head, WireFormat.ServerReply reply) {
		int status = head.status().code();
		Optional<SendResult> unusable = ResponsePolicy.unusable(status, reply.notRun(),
				reply.sealed() && !reply.encoded(), this.admitted.route().repeatable(), this.relay.started());
		this.crashes.responded(status, send.server());
		boolean next = this.second.isNext(send);
		if (!next) {
			this.log.head(BodyFraming.of(this.head.method(), head));
		}
		if (unusable.isPresent()) {
			abandonSend(send, unusable.get(), "status " + status + (reply.notRun() ? ", not run" : ""));
			return;
		}
		send.server().recordResult(ResponsePolicy.failure(status));
		if (this.second.holds(send, head)) {
			return;
		}
		if (next) {
			takeOver();
		}
		else if (!this.second.isHedge()) {
			this.second.cancel();
		}
		responseHead(head);
	}

	private void responseHead(HttpResponse head) {
		this.log.head(BodyFraming.of(this.head.method(), head));
		this.relay.head(head);
	}

	// Closes the connection, because the rest of the response will not be read.
	private void abandonSend(ServerSend send, SendResult result, String reason) {
		send.cancel();
		broken(send, result, reason);
	}

	@Override
	public void data(ServerSend send, ByteBuf data) {
		responds(send);
		this.log.data(this.context.now(), data.readableBytes());
		boolean writable = this.relay.data(data);
		if (this.relay.tooLong()) {
			abandonSend(send, SendResult.BROKEN, "the response does not end");
			return;
		}
		if (!writable) {
			send.setReading(false);
		}
	}

	// The response of this send is the one that the caller gets.
	private void responds(ServerSend send) {
		this.secondSends.responded(send);
		if (!this.second.isNext(send)) {
			this.second.cancel();
			return;
		}
		this.crashes.givenUp(this.current, false);
		this.policy.after(SendResult.SILENT, this.relay.started());
		this.relay.discard();
		continueAtOtherServer();
	}

	@Override
	public void completed(ServerSend send, boolean proved) {
		if (this.end.ended()) {
			return;
		}
		responds(send);
		long now = this.context.now();
		this.context.admission()
			.answered(this.admitted.service(), (now - send.sentAt()) / NANOS_PER_MS, send.waitShare());
		if (HttpStatusClass.SUCCESS.contains(this.relay.status())) {
			this.context.drainAdmission()
				.answered(this.admitted.route(), (now - this.startedAt) / NANOS_PER_MS, this.relay.started());
		}
		endSends();
		if (proved) {
			this.crashes.completed(this.relay.status());
		}
		this.end.record("answered", "status " + this.relay.status(), this.tried);
		this.relay.end();
	}

	@Override
	public void broken(ServerSend send, SendResult result, String reason) {
		if (this.end.ended()) {
			return;
		}
		recordFailure(send, result, reason);
		if (this.second.isNext(send)) {
			this.second.failed(result);
			return;
		}
		this.relay.discard();
		Decision decision = this.policy.after(result, this.relay.started());
		if (this.second.sent().isPresent()) {
			continueAtOtherServer();
			return;
		}
		endSends();
		if (decision != Decision.SEND_AGAIN || !this.relay.continuable()) {
			conclude((decision != Decision.SEND_AGAIN) ? decision : this.policy.giveUp(this.relay.started()), reason);
			return;
		}
		if (!this.crashes.allowsResend(result)) {
			giveUp("it has been running at crashed servers before: " + reason);
			return;
		}
		sendAgain(reason);
	}

	private void sendAgain(String reason) {
		if (this.drain.end(this.tried) || stoppedByCrashes(() -> sendAgain(reason))) {
			return;
		}
		if (this.policy.nextIsRetry() && !this.context.budgets().tryRetry(this.admitted.service())) {
			giveUp("the retry budget is used up after: " + reason);
			return;
		}
		if (this.policy.nextIsRetry()) {
			this.context.metrics().retry();
		}
		if (this.relay.started()) {
			this.context.metrics().resume();
		}
		send();
	}

	private void recordFailure(ServerSend send, SendResult result, String reason) {
		if (!result.notRun()) {
			send.server().recordResult(true);
		}
		this.secondSends.failed(result);
		this.crashes.sendFailed(result, send);
		this.log.sendFailed(result, send.trace(), this.crashes, reason);
	}

	private void endSends() {
		this.second.cancel();
		this.secondSends.ended();
		if (this.current != null) {
			this.current.end();
			this.current = null;
		}
	}

	private void giveUp(String reason) {
		conclude(this.policy.giveUp(this.relay.started()), reason);
	}

	private void conclude(Decision decision, String reason) {
		switch (decision) {
			case REFUSE -> refuse(reason);
			case FAIL -> this.end.fail(reason, this.tried, this.deadlineAt);
			default -> this.end.breakOff(reason, this.tried);
		}
	}

	private void refuse(String reason) {
		// A caller that came back earlier would be refused again.
		long quarantinedMs = (this.crashes != null) ? this.crashes.refusedForMs() : 0;
		this.end.refuse(reason, this.tried, this.deadlineAt, this.slotFreeMs, quarantinedMs);
	}

	/**
	 * Check the time limit, and whether the server is silent.
	 * @param readUntil time up to which everything that arrived has been read, monotonic
	 * in nanoseconds
	 */
	void tick(long readUntil) {
		boolean expired = readUntil >= this.deadlineAt;
		if (this.end.ended() || !expired && this.admitted == null) {
			return;
		}
		if (this.admitted == null) {
			refuse("no configuration or no backend server is known yet");
			return;
		}
		if (expired) {
			this.context.drainAdmission().expired(this.admitted.route());
			cancelSend();
			giveUp("the time limit has passed");
			return;
		}
		if (!this.hold.resume() && this.current != null && this.current.awaitsResponse()) {
			this.secondSends.check(this.current, this.tried, readUntil);
		}
	}

	private void takeOver() {
		recordFailure(this.current, SendResult.SILENT,
				"no bytes for " + this.current.silentMs(this.context.now()) + " ms");
		this.relay.discard();
		this.policy.after(SendResult.SILENT, this.relay.started());
		continueAtOtherServer();
	}

	private void continueAtOtherServer() {
		this.current.cancel();
		this.current = this.second.complete();
		this.tried.add(this.current.serverId());
		this.log.sent(this.current.choice());
		this.second.heldHead().ifPresent(this::responseHead);
		if (this.relay.started()) {
			this.context.metrics().resume();
		}
	}

	private void cancelSend() {
		if (this.admitted == null) {
			return;
		}
		if (this.current != null && this.current.awaitsResponse()) {
			this.crashes.givenUp(this.current, this.context.now() >= this.deadlineAt);
			this.policy.after(SendResult.SILENT, this.relay.started());
			this.current.cancel();
			this.relay.discard();
		}
		endSends();
	}

	void callerWritable(boolean writable) {
		if (this.current != null) {
			this.current.setReading(writable);
		}
	}

	/**
	 * Cancel the request because the caller has closed its connection.
	 */
	void callerDisconnected() {
		if (!this.end.ended()) {
			cancelSend();
			this.end.record("caller-left", "the caller closed its connection", this.tried);
		}
	}

	void stop() {
		if (!this.end.ended() && this.admitted == null) {
			refuse("the router is stopping");
		}
		else if (!this.end.ended()) {
			cancelSend();
			giveUp("the router is stopping");
		}
	}

}

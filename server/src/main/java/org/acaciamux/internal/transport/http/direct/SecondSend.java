package org.acaciamux.internal.transport.http.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.event.LogText;

/**
 * The send of a request to another server while a first one is in progress: it takes over
 * from a silent server or hedges a slow one. Invariants: at most one is open; what it has
 * taken from the limits is given back if nothing is sent; when it is given up, its
 * connection is closed, so that the server stops its work. Confined to the event loop.
 */
final class SecondSend {

	/** Servers that are considered in one check. */
	private static final int MAX_CANDIDATES = 3;

	/** Servers that could not be connected for this request. */
	private final Set<String> avoided = new HashSet<>();

	private final DirectContext context;

	private final AdmittedRequest admitted;

	private final AttemptPolicy policy;

	private final DrainCheck drain;

	private final CrashHistory crashes;

	private final ResponseRelay relay;

	private final Transmission transmission;

	/** The send, null while there is none. */
	private ServerSend send;

	private boolean hedge;

	private int endedHedges;

	private Optional<HttpResponse> head = Optional.empty();

	/**
	 * Create the second sends of one request.
	 * @param context the shared components
	 * @param admitted the request
	 * @param policy decides whether it may run again
	 * @param drain decides whether the router can still finish it
	 * @param crashes the crashes of servers that were running it
	 * @param relay passes its response on
	 * @param transmission sends the request on a connection
	 */
	SecondSend(DirectContext context, AdmittedRequest admitted, AttemptPolicy policy, DrainCheck drain,
			CrashHistory crashes, ResponseRelay relay, Transmission transmission) {
		this.context = context;
		this.admitted = admitted;
		this.policy = policy;
		this.drain = drain;
		this.crashes = crashes;
		this.relay = relay;
		this.transmission = transmission;
	}

	/**
	 * Return whether another server may run the request besides the one in progress.
	 * @return whether it may
	 */
	boolean mayRun() {
		return this.relay.continuable() && this.policy.allowsAnotherRun() && !this.crashes.refused()
				&& this.crashes.allowsResend(SendResult.SILENT) && !this.crashes.mustWait() && this.drain.mayRepeat();
	}

	/**
	 * Choose a server that has room.
	 * @param excluded ids of the servers that are left out
	 * @param condition what the server must fulfil as well
	 * @return the server, empty if none of the best ones will do
	 */
	Optional<ServerState> choose(Set<String> excluded, Predicate<ServerState> condition) {
		Set<String> leftOut = new HashSet<>(excluded);
		leftOut.addAll(this.avoided);
		for (int i = 0; i < MAX_CANDIDATES; i++) {
			Optional<ServerState> server = this.context.placement()
				.choose(this.admitted.service(), this.admitted.request(), leftOut);
			if (server.isEmpty() || hasRoom(server.get()) && condition.test(server.get())) {
				return server;
			}
			leftOut.add(server.get().entry().id());
		}
		return Optional.empty();
	}

	private boolean hasRoom(ServerState server) {
		return !server.unreachable()
				&& this.context.admission().refusal(server, this.admitted.route(), this.admitted.waitClass()).isEmpty();
	}

	/**
	 * Connect to a server and send the request. What the send takes from the limits must
	 * have been taken.
	 * @param server the server
	 * @param hedges whether it hedges the first send
	 * @param stillNeeded asked when the connection is open
	 */
	void connect(ServerState server, boolean hedges, BooleanSupplier stillNeeded) {
		this.hedge = hedges;
		this.head = Optional.empty();
		this.send = new ServerSend(this.context, this.admitted, server, this.crashes);
		this.send.connect((result) -> connected(result, stillNeeded));
	}

	private void connected(Either<ServerChannels.Unavailable, ServerChannel> result, BooleanSupplier stillNeeded) {
		if (result.isLeft()) {
			this.crashes.notConnected(result.getLeft(), this.send.server());
			this.avoided.add(this.send.serverId());
			cancel();
			return;
		}
		if (!stillNeeded.getAsBoolean() || this.crashes.refused()
				|| !this.context.warmup().trySend(this.send.server())) {
			this.context.channels().release(result.get());
			cancel();
			return;
		}
		if (this.hedge) {
			this.context.metrics().hedge("sent");
		}
		else {
			this.context.metrics().retry();
		}
		this.transmission.transmit(this.send, result.get());
	}

	boolean isNext(ServerSend other) {
		return other == this.send;
	}

	boolean isOpen() {
		return this.send != null;
	}

	boolean isHedge() {
		return isOpen() && this.hedge;
	}

	/**
	 * Return the send if the server may have the request.
	 * @return the send, empty while there is none or its connection is being opened
	 */
	Optional<ServerSend> sent() {
		return Optional.ofNullable(this.send).filter(ServerSend::awaitsResponse);
	}

	/**
	 * Return the number of hedges that were sent and are given up.
	 * @return the number, at least 0
	 */
	int endedHedges() {
		return this.endedHedges;
	}

	/**
	 * Keep the head of a hedge's response until its first byte decides: a stream may
	 * begin long after its head.
	 * @param other the send that responded
	 * @param response the head
	 * @return whether it is that of a hedge
	 */
	boolean holds(ServerSend other, HttpResponse response) {
		if (!isNext(other) || !this.hedge) {
			return false;
		}
		this.head = Optional.of(response);
		return true;
	}

	/**
	 * Make this send the only one.
	 * @return the send
	 */
	ServerSend complete() {
		ServerSend other = this.send;
		if (this.hedge) {
			endHedge("won");
		}
		this.send = null;
		return other;
	}

	/**
	 * Return the head of the response that was held for the last send.
	 * @return the head, empty if it has not arrived or was not held
	 */
	Optional<HttpResponse> heldHead() {
		return this.head;
	}

	/**
	 * Record that the server does not run the request or has failed.
	 * @param result how the send ended
	 */
	void failed(SendResult result) {
		this.avoided.add(this.send.serverId());
		this.policy.after(result, true);
		if (this.hedge) {
			this.endedHedges += result.arrived() ? 1 : 0;
			endHedge("failed");
		}
		this.send.end();
		this.send = null;
	}

	/**
	 * Give up the send, because the first one goes on or the request has ended.
	 */
	void cancel() {
		if (this.send == null) {
			return;
		}
		if (this.send.awaitsResponse()) {
			this.policy.after(SendResult.SILENT, true);
			if (this.hedge) {
				this.endedHedges++;
				this.crashes.givenUp(this.send, false);
				endHedge("lost");
			}
		}
		else {
			this.context.budgets().returnRetry(this.admitted.service());
			if (this.hedge) {
				this.context.hedging().giveBack(this.admitted.service());
			}
		}
		this.send.cancel();
		this.send = null;
	}

	private void endHedge(String change) {
		this.context.metrics().hedge(change);
		this.context.log()
			.line("event=hedge-" + change + " request=" + LogText.id(this.admitted.request().attemptId()) + " server="
					+ this.send.serverId() + " afterMs=" + this.send.silentMs(this.context.now()));
	}

	/**
	 * Sends a request on a connection.
	 */
	interface Transmission {

		/**
		 * Send the request.
		 * @param send the send
		 * @param channel the connection
		 */
		void transmit(ServerSend send, ServerChannel channel);

	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.Set;
import java.util.function.BiConsumer;

import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.SilencePolicy;

/**
 * Finds another server for a request whose server is silent. A sound server may be silent
 * for a second or so and then go on, so the silent send goes on until another server is
 * connected. Invariants: at most one connection is being opened; a retry is taken from
 * the budget only for a server that takes over. Confined to the event loop.
 */
final class ServerTakeover {

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final AdmittedRequest admitted;

	private final AttemptPolicy policy;

	private final CrashHistory crashes;

	private final BiConsumer<ServerSend, ServerChannel> action;

	/** The send to the server that is being connected, null while there is none. */
	private ServerSend next;

	/**
	 * Create the takeovers of one request.
	 * @param context the shared components
	 * @param admitted the request
	 * @param policy decides whether it may run again
	 * @param crashes the crashes of servers that were running it
	 * @param action sends the request over a connection to another server
	 */
	ServerTakeover(DirectContext context, AdmittedRequest admitted, AttemptPolicy policy, CrashHistory crashes,
			BiConsumer<ServerSend, ServerChannel> action) {
		this.context = context;
		this.admitted = admitted;
		this.policy = policy;
		this.crashes = crashes;
		this.action = action;
	}

	/**
	 * Begin to connect another server if the server of a send is silent and another one
	 * may run the request.
	 * @param current the send
	 * @param tried ids of the servers that have already been tried; one that cannot be
	 * connected is added
	 */
	void check(ServerSend current, Set<String> tried) {
		long now = this.context.now();
		if (!needed(current, now)) {
			return;
		}
		if (unresponsive(current, now)) {
			current.reportSilence(now);
		}
		if (this.next == null && mayRunElsewhere()) {
			this.context.placement()
				.choose(this.admitted.service(), this.admitted.request(), tried)
				.filter(this::hasRoom)
				.ifPresent((server) -> connect(current, server, tried));
		}
	}

	private boolean needed(ServerSend send, long now) {
		return SilencePolicy.needsTakeover(this.admitted.route(), send.silentMs(now),
				send.responding(this.admitted.route().streaming()), this.policy.arrivals() == 0,
				unresponsive(send, now));
	}

	private static boolean unresponsive(ServerSend send, long now) {
		return SilencePolicy.unresponsive((now - send.server().lastReceivedAt()) / NANOS_PER_MS);
	}

	private boolean mayRunElsewhere() {
		return this.policy.allowsAnotherRun() && this.crashes.allowsResend(SendResult.SILENT)
				&& this.context.budgets().allowsRetry(this.admitted.service());
	}

	private boolean hasRoom(ServerState server) {
		return !server.unreachable()
				&& this.context.admission().refusal(server, this.admitted.route(), this.admitted.waitClass()).isEmpty();
	}

	private void connect(ServerSend current, ServerState server, Set<String> tried) {
		this.next = new ServerSend(this.context, this.admitted, server);
		this.next.connect((result) -> connected(current, result, tried));
	}

	private void connected(ServerSend current, Either<ServerChannels.Unavailable, ServerChannel> result,
			Set<String> tried) {
		ServerSend other = this.next;
		this.next = null;
		if (result.isLeft()) {
			this.crashes.notConnected(result.getLeft(), other.server());
			tried.add(other.serverId());
			other.end();
			return;
		}
		long now = this.context.now();
		if (!needed(current, now) || this.admitted.remainingMs(now) < 1
				|| !this.context.budgets().tryRetry(this.admitted.service())) {
			this.context.channels().release(result.get());
			other.end();
			return;
		}
		this.action.accept(other, result.get());
	}

	/**
	 * Stop connecting another server, because the silent send has ended.
	 */
	void cancel() {
		if (this.next != null) {
			this.next.end();
			this.next = null;
		}
	}

}

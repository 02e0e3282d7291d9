package org.acaciamux.internal.transport.http.direct;

import java.util.Set;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.SilencePolicy;
import org.acaciamux.internal.event.LogText;

/**
 * Finds another server for a request whose server is silent. A sound server may be silent
 * for a second or so and then go on, so the silent send goes on until the other server
 * has accepted the request. A request that has been hedged already is taken over by that
 * send. Invariant: a retry is taken from the budget before a connection is opened.
 * Confined to the event loop.
 */
final class ServerTakeover {

	/**
	 * Longest time that both sends are open without a response of the other server, in
	 * milliseconds: servers reject requests at once, and two servers must not work on one
	 * request for long.
	 */
	private static final long MAX_OVERLAP_MS = 200;

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final AdmittedRequest admitted;

	private final AttemptPolicy policy;

	private final CrashHistory crashes;

	private final SecondSend second;

	private final Runnable takeOver;

	/**
	 * Create the takeovers of one request.
	 * @param context the shared components
	 * @param admitted the request
	 * @param policy decides whether it may run again
	 * @param crashes the crashes of servers that were running it
	 * @param second its send to another server
	 * @param takeOver gives up the silent send for the one to the other server
	 */
	ServerTakeover(DirectContext context, AdmittedRequest admitted, AttemptPolicy policy, CrashHistory crashes,
			SecondSend second, Runnable takeOver) {
		this.context = context;
		this.admitted = admitted;
		this.policy = policy;
		this.crashes = crashes;
		this.second = second;
		this.takeOver = takeOver;
	}

	/**
	 * Begin or complete the takeover of a send whose server is silent.
	 * @param current the send
	 * @param tried ids of the servers that have already been tried
	 * @param readUntil time up to which everything that arrived has been read, monotonic
	 * in nanoseconds
	 */
	void check(ServerSend current, Set<String> tried, long readUntil) {
		reportSilence(current, readUntil);
		if (this.second.isHedge()) {
			// Both servers may be slow, so both go on until one of them responds.
			this.second.sent().ifPresent((hedge) -> reportSilence(hedge, readUntil));
			return;
		}
		if (this.second.isOpen()) {
			boolean accepted = this.second.sent()
				.filter((send) -> (readUntil - send.sentAt()) / NANOS_PER_MS > MAX_OVERLAP_MS)
				.isPresent();
			if (accepted) {
				this.takeOver.run();
			}
			return;
		}
		if (needed(current, readUntil) && this.second.mayRun()) {
			this.second.choose(tried, (server) -> true)
				.filter((server) -> this.context.budgets().tryRetry(this.admitted.service()))
				.ifPresent((server) -> this.second.connect(server, false, () -> stillNeeded(current, server)));
		}
	}

	// Keeps new requests away from the server, also if this one cannot be moved.
	private void reportSilence(ServerSend current, long now) {
		ServerState server = current.server();
		boolean suspect = SilencePolicy.suspect(this.admitted.route(), current.silentMs(now),
				unresponsive(current, now));
		if (suspect && !server.suspect(now)) {
			server.failedToReach(now);
			this.context.log()
				.line("event=server-silent server=" + current.serverId() + " request="
						+ LogText.id(this.admitted.request().attemptId()) + " silentMs=" + current.silentMs(now)
						+ " begun=" + current.responding(this.admitted.route().streaming()) + " mayRunElsewhere="
						+ this.second.mayRun());
		}
	}

	private boolean needed(ServerSend send, long now) {
		return SilencePolicy.needsTakeover(this.admitted.route(), send.silentMs(now),
				send.responding(this.admitted.route().streaming()), this.policy.arrivals() == this.second.endedHedges(),
				unresponsive(send, now));
	}

	private static boolean unresponsive(ServerSend send, long now) {
		return SilencePolicy.unresponsive((now - send.server().lastReceivedAt()) / NANOS_PER_MS);
	}

	private boolean stillNeeded(ServerSend current, ServerState server) {
		long now = this.context.now();
		boolean sends = needed(current, now) && this.admitted.remainingMs(now) >= 1
				&& this.context.warmup().allows(server);
		if (sends) {
			this.crashes.givenUp(current, true);
		}
		return sends;
	}

}

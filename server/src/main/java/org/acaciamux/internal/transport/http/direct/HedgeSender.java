package org.acaciamux.internal.transport.http.direct;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.hedge.HedgePolicy;
import org.acaciamux.internal.coordination.hedge.HedgePolicy.Decision;
import org.acaciamux.internal.coordination.hedge.HedgeRequest;
import org.acaciamux.internal.event.LogText;

/**
 * Sends one request to a second server when {@link HedgePolicy} decides so, and tells it
 * the response time of the first send. Invariants: a request is hedged at most once; the
 * second server is not suspect, has a free slot and stays within the load bound. Confined
 * to the event loop.
 */
final class HedgeSender {

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final HedgePolicy hedging;

	private final AdmittedRequest admitted;

	private final AttemptPolicy policy;

	private final CrashHistory crashes;

	private final SecondSend second;

	private final Runnable check;

	/** The first send, null until the request is sent. */
	private ServerSend first;

	private ScheduledFuture<?> timer;

	private boolean recorded;

	private boolean hedged;

	private boolean limitCounted;

	/**
	 * Create the hedges of one request.
	 * @param context the shared components, with hedging
	 * @param admitted the request
	 * @param policy its runs
	 * @param crashes the crashes of servers that were running it
	 * @param second its send to another server
	 * @param check calls {@link #check}
	 */
	HedgeSender(DirectContext context, AdmittedRequest admitted, AttemptPolicy policy, CrashHistory crashes,
			SecondSend second, Runnable check) {
		this.context = context;
		this.hedging = context.hedging();
		this.admitted = admitted;
		this.policy = policy;
		this.crashes = crashes;
		this.second = second;
		this.check = check;
		this.hedging.arrived(admitted.service());
	}

	/**
	 * Record that the request was sent, and check it when a hedge is due: the regular
	 * checks are too rare for services that answer within a few ms.
	 * @param send the send
	 */
	void sent(ServerSend send) {
		if (this.first != null) {
			return;
		}
		this.first = send;
		if (this.admitted.route().repeatable()) {
			this.hedging.delayMs(this.admitted.service())
				.ifPresent(
						(ms) -> this.timer = this.context.loop().schedule(this.check, ms + 1, TimeUnit.MILLISECONDS));
		}
	}

	/**
	 * Record the first byte of the response that the caller gets.
	 * @param send the send that responded
	 */
	void responded(ServerSend send) {
		if (this.recorded || this.first == null) {
			return;
		}
		if (send != this.first) {
			ended();
			return;
		}
		this.recorded = true;
		this.hedging.answered(this.admitted.service(), elapsedMs(this.context.now()));
	}

	/**
	 * Record that a send has ended without a usable response.
	 * @param result how it ended
	 */
	void failed(SendResult result) {
		if (result == SendResult.REJECTED) {
			this.hedging.refused(this.admitted.service());
		}
	}

	/**
	 * Record that the request has no first send any more.
	 */
	void ended() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		if (!this.recorded && this.first != null) {
			this.recorded = true;
			this.hedging.abandoned(this.admitted.service(), elapsedMs(this.context.now()));
		}
	}

	private long elapsedMs(long now) {
		return (now - this.first.sentAt()) / NANOS_PER_MS;
	}

	/**
	 * Send the request to a second server if it is time to.
	 * @param current the send in progress
	 * @param tried ids of the servers that have already been tried
	 * @param readUntil time up to which everything that arrived has been read, monotonic
	 * in nanoseconds
	 */
	void check(ServerSend current, Set<String> tried, long readUntil) {
		if (this.hedged || this.second.isOpen() || !due(current, readUntil)) {
			return;
		}
		String service = this.admitted.service();
		List<ServerState> servers = this.context.servers().usable(service);
		long now = this.context.now();
		int load = servers.stream().mapToInt((server) -> server.load(now)).sum();
		int slots = servers.stream().mapToInt((server) -> server.entry().slots()).sum();
		Decision decision = this.hedging.decide(service, request(current), load, slots);
		if (decision == Decision.SHARE_USED_UP || decision == Decision.OVERLOADED) {
			countLimit((decision == Decision.OVERLOADED) ? "stopped-by-load" : "stopped-by-share");
		}
		if (decision == Decision.SEND && this.second.mayRun()) {
			choose(current, tried, servers).ifPresent((server) -> send(current, server, now));
		}
	}

	private boolean due(ServerSend current, long readUntil) {
		return current == this.first && !current.responding(this.admitted.route().streaming())
				&& this.hedging.due(this.admitted.service(), elapsedMs(readUntil));
	}

	private HedgeRequest request(ServerSend current) {
		boolean streaming = this.admitted.route().streaming();
		return new HedgeRequest(this.admitted.route().repeatable(), this.policy.arrivals() == 0,
				current.responding(streaming), this.policy.allowsAnotherRun(), this.crashes.mayCrash(),
				this.context.draining());
	}

	// Counts a request once, although it is checked until it responds.
	private void countLimit(String change) {
		if (!this.limitCounted) {
			this.limitCounted = true;
			this.context.metrics().hedge(change);
		}
	}

	// A cause that slows one server down is likely to slow down its failure domain.
	private Optional<ServerState> choose(ServerSend current, Set<String> tried, List<ServerState> servers) {
		Set<String> sameDomain = new HashSet<>(tried);
		servers.stream()
			.map(ServerState::entry)
			.filter((entry) -> entry.domain().equals(current.server().entry().domain()))
			.forEach((entry) -> sameDomain.add(entry.id()));
		return this.second.choose(sameDomain, this::takesOneMore)
			.or(() -> this.second.choose(tried, this::takesOneMore));
	}

	private boolean takesOneMore(ServerState server) {
		long now = this.context.now();
		return !server.suspect(now) && server.load(now) < server.entry().slots()
				&& this.context.placement().withinBound(server, this.admitted.request());
	}

	private void send(ServerSend current, ServerState server, long now) {
		String service = this.admitted.service();
		if (!this.context.budgets().tryHedge(service)) {
			countLimit("stopped-by-budget");
			return;
		}
		this.hedging.use(service);
		this.hedged = true;
		this.context.log()
			.line("event=hedge-begun request=" + LogText.id(this.admitted.request().attemptId()) + " server="
					+ server.entry().id() + " first=" + current.serverId() + " firstMs=" + elapsedMs(now)
					+ " percentileMs=" + this.hedging.delayMs(service).orElse(-1));
		this.second.connect(server, true, () -> stillUseful(current));
	}

	private boolean stillUseful(ServerSend current) {
		return !request(current).excluded() && this.admitted.remainingMs(this.context.now()) >= 1;
	}

}

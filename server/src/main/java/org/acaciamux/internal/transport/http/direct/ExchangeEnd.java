package org.acaciamux.internal.transport.http.direct;

import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.DrainTimes;
import org.acaciamux.internal.state.StableHash;

/**
 * Ends a request and gives it the final responses that are the router's own. Invariant:
 * at most one end is recorded, before its response is written. Confined to the event
 * loop.
 */
final class ExchangeEnd {

	/**
	 * Shortest and longest time, in milliseconds, after which a caller that can use
	 * another router comes back, so that the callers of a router do not return at once.
	 */
	private static final long MIN_ELSEWHERE_MS = 200;

	private static final long MAX_ELSEWHERE_MS = 500;

	private static final long NANOS_PER_MS = 1_000_000;

	private final DirectContext context;

	private final DirectCaller caller;

	private final DirectExchange exchange;

	private final ExchangeLog log;

	private final long startedAt;

	private boolean ended;

	ExchangeEnd(DirectContext context, DirectCaller caller, DirectExchange exchange, ExchangeLog log, long startedAt) {
		this.context = context;
		this.caller = caller;
		this.exchange = exchange;
		this.log = log;
		this.startedAt = startedAt;
	}

	boolean ended() {
		return this.ended;
	}

	/**
	 * Record the end.
	 * @param outcome the outcome for log and metrics
	 * @param reason the reason for the log
	 * @param servers ids of the servers to which the request was sent
	 */
	void record(String outcome, String reason, Set<String> servers) {
		this.ended = true;
		this.context.remove(this.exchange);
		this.log.ended(outcome, reason, servers);
	}

	/**
	 * Answer that the request has not run, with the time after which to send it again.
	 * @param reason the reason for the log
	 * @param servers ids of the servers to which it was sent, none of which has run it
	 * @param deadlineAt when its time limit passes, monotonic time in nanoseconds
	 * @param slotFreeMs estimated milliseconds until a slot is free
	 * @param earliestMs milliseconds before which it would be refused again
	 */
	void refuse(String reason, Set<String> servers, long deadlineAt, long slotFreeMs, long earliestMs) {
		long now = this.context.now();
		long leftMs = (deadlineAt - now) / NANOS_PER_MS;
		// A caller that came back to a router that stops would be refused again.
		long drainMs = this.context.drainTimes().map((times) -> times.balancerLeftMs(now)).orElse(0L);
		refuse(reason, servers,
				Math.max(Math.max(earliestMs, drainMs), Admission.retryAfterMs(slotFreeMs, leftMs, random())));
	}

	/**
	 * Answer that the request has not run because the router stops, with the time after
	 * which another router gets it.
	 * @param reason the reason for the log
	 * @param servers ids of the servers to which it was sent, none of which has run it
	 * @param times the times of the drain
	 */
	void refuseInDrain(String reason, Set<String> servers, DrainTimes times) {
		long now = this.context.now();
		long earliestMs = this.context.onlyRouter() ? times.leftMs(now) : times.balancerLeftMs(now);
		long spreadMs = (long) (random() * (MAX_ELSEWHERE_MS - MIN_ELSEWHERE_MS));
		refuse(reason, servers, Math.max(MIN_ELSEWHERE_MS, earliestMs) + spreadMs);
	}

	private double random() {
		return (StableHash.mix(this.startedAt) >>> 11) / (double) (1L << 53);
	}

	private void refuse(String reason, Set<String> servers, long ms) {
		record("refused", reason, servers);
		this.caller.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, OutgoingHeaders.retryAfter(ms),
				Unpooled.EMPTY_BUFFER);
	}

	/**
	 * Answer that the request failed; it may have run.
	 * @param reason the reason for the log
	 * @param servers ids of the servers to which it was sent
	 * @param deadlineAt when its time limit passes, monotonic time in nanoseconds
	 */
	void fail(String reason, Set<String> servers, long deadlineAt) {
		boolean late = this.context.now() >= deadlineAt;
		respond(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, "failed", reason, servers);
	}

	/**
	 * Answer with a status.
	 * @param status the status
	 * @param outcome the outcome for log and metrics
	 * @param reason the reason for the log
	 * @param servers ids of the servers to which the request was sent
	 */
	void respond(HttpResponseStatus status, String outcome, String reason, Set<String> servers) {
		record(outcome, status.code() + " " + reason, servers);
		this.caller.respond(status, OutgoingHeaders.FACTORY.newHeaders(), Unpooled.EMPTY_BUFFER);
	}

	/**
	 * Close the connection of the caller, which has received a part of the response.
	 * @param reason the reason for the log
	 * @param servers ids of the servers to which the request was sent
	 */
	void breakOff(String reason, Set<String> servers) {
		record("broken-off", reason, servers);
		this.caller.breakOff();
	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.CrashSuspects;
import org.acaciamux.internal.coordination.direct.Organisation;
import org.acaciamux.internal.coordination.direct.ResponsePolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.SilencePolicy;
import org.acaciamux.internal.state.StableHash;

/**
 * Connects one request with the crashes of servers that were running it, whoever sent it.
 * Invariant: requests with the same path, organisation and body share one history.
 * Confined to the event loop.
 */
final class CrashHistory {

	private static final long NANOS_PER_MS = 1_000_000;

	private static final long BODY_HASH_FACTOR = 0x9E3779B97F4A7C15L;

	private final DirectContext context;

	private final CrashSuspects suspects;

	private final long fingerprint;

	// Not the key: an organisation may replace it while it resends a request.
	CrashHistory(DirectContext context, CallerRequest request, Optional<Organisation> organisation, ByteBuf body) {
		this.context = context;
		this.suspects = context.suspects();
		this.fingerprint = StableHash.of(request.uri(), organisation.map(Organisation::name).orElse(""))
				^ (body.isReadable() ? body.hashCode() * BODY_HASH_FACTOR : 0);
	}

	boolean refused() {
		return this.suspects.shouldRefuse(this.fingerprint);
	}

	/**
	 * Return how long the request is still refused.
	 * @return the time in milliseconds, 0 if it is not refused
	 */
	long refusedForMs() {
		return this.suspects.refusedForMs(this.fingerprint);
	}

	/**
	 * Return whether the request may be sent again as far as crashes are concerned.
	 * @param result how the last send ended
	 * @return whether it may
	 */
	boolean allowsResend(SendResult result) {
		return result.notRun() || !this.suspects.oneCrashFromRefusal(this.fingerprint);
	}

	/**
	 * Record the end of a send without a usable response.
	 * @param result how it ended
	 * @param server its server
	 */
	void sendFailed(SendResult result, ServerState server) {
		if (result == SendResult.BROKEN) {
			this.context.crashCheck().brokeOff(this.fingerprint, server);
		}
	}

	/**
	 * Record that a send was given up without a complete response.
	 * @param server its server
	 * @param sentAt when it was sent, monotonic time in nanoseconds
	 * @param overdue whether a response was due; otherwise a server counts as silent
	 * after the time in which all its connections should have brought something
	 */
	void givenUp(ServerState server, long sentAt, boolean overdue) {
		boolean silent = server.lastReceivedAt() - sentAt < 0;
		if (silent && (overdue || SilencePolicy.unresponsive((this.context.now() - sentAt) / NANOS_PER_MS))) {
			this.context.crashCheck().silent(this.fingerprint, server);
		}
	}

	/**
	 * Record that there was no connection to a server.
	 * @param cause the cause
	 * @param server the server
	 */
	void notConnected(ServerChannels.Unavailable cause, ServerState server) {
		if (cause.refused()) {
			this.suspects.lifetimeEnded(server.observedLifetime());
		}
	}

	/**
	 * Record the status of a response. One that is misdirected shows that another server
	 * has the address now.
	 * @param status the status
	 * @param server the server
	 */
	void responded(int status, ServerState server) {
		if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			this.suspects.lifetimeEnded(server.observedLifetime());
		}
	}

	/**
	 * Record a complete response. A failure does not prove that the server ran the
	 * request to its end.
	 * @param status its status
	 */
	void completed(int status) {
		if (!ResponsePolicy.failure(status)) {
			this.suspects.completed(this.fingerprint);
		}
	}

	/**
	 * Return the fingerprint for the log.
	 * @return the fingerprint in hexadecimal
	 */
	@Override
	public String toString() {
		return Long.toHexString(this.fingerprint);
	}

}

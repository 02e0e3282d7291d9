package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.CrashSuspects;
import org.acaciamux.internal.coordination.direct.Organisation;
import org.acaciamux.internal.coordination.direct.PromptRun;
import org.acaciamux.internal.coordination.direct.PromptSuspects;
import org.acaciamux.internal.coordination.direct.ResponsePolicy;
import org.acaciamux.internal.coordination.direct.SendResult;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.SilencePolicy;
import org.acaciamux.internal.state.StableHash;

/**
 * Connects one request with the crashes of servers that were running it, whoever sent it,
 * or another request with one of its prompt parts. Invariants: requests with the same
 * path, organisation and body share one history; so do requests with a common part, for
 * this part. Confined to the event loop.
 */
final class CrashHistory {

	private static final long NANOS_PER_MS = 1_000_000;

	private static final long BODY_HASH_FACTOR = 0x9E3779B97F4A7C15L;

	private final DirectContext context;

	private final CrashSuspects suspects;

	private final PromptSuspects promptSuspects;

	private final Set<String> parts;

	private final long fingerprint;

	/** Whether a server that was running this request may have crashed. */
	private boolean ranAtCrash;

	// Not the key: an organisation may replace it while it resends a request.
	CrashHistory(DirectContext context, CallerRequest request, Optional<Organisation> organisation, ByteBuf body) {
		this.context = context;
		this.suspects = context.suspects();
		this.promptSuspects = context.promptSuspects();
		this.parts = PromptSuspects.sharedParts(request.prompt());
		this.fingerprint = StableHash.of(request.uri(), organisation.map(Organisation::name).orElse(""))
				^ (body.isReadable() ? body.hashCode() * BODY_HASH_FACTOR : 0);
	}

	boolean refused() {
		return this.suspects.shouldRefuse(this.fingerprint) || this.promptSuspects.shouldRefuse(this.parts);
	}

	/**
	 * Record that the request is being sent.
	 * @param service the service of the server
	 * @return the run, which must be ended
	 */
	PromptRun started(String service) {
		return this.promptSuspects.started(service, this.parts);
	}

	/**
	 * Return whether the request has to wait until it is known whether its prompt parts
	 * are harmless.
	 * @return whether it has to
	 */
	boolean mustWait() {
		return this.promptSuspects.mustWait(this.parts, this.ranAtCrash);
	}

	/**
	 * Return whether the request crashes servers or may do so, as far as crashes are
	 * known.
	 * @return whether a server crashed that may have run it or one of its prompt parts
	 */
	boolean mayCrash() {
		return this.ranAtCrash || this.suspects.possibleCrashCount(this.fingerprint) > 0
				|| this.promptSuspects.crashed(this.parts);
	}

	/**
	 * Return how long the request is still refused.
	 * @return the time in milliseconds, 0 if it is not refused
	 */
	long refusedForMs() {
		return Math.max(this.suspects.refusedForMs(this.fingerprint), this.promptSuspects.refusedForMs(this.parts));
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
	 * @param send the send
	 */
	void sendFailed(SendResult result, ServerSend send) {
		if (result == SendResult.BROKEN) {
			this.ranAtCrash = true;
			this.context.crashCheck().brokeOff(this.fingerprint, send);
		}
	}

	/**
	 * Record that a response ended with its connection. It proves something only if the
	 * server lives, because one that crashes may close its connections in order.
	 * @param send the send
	 */
	void endedWithConnection(ServerSend send) {
		this.context.crashCheck().endedWithConnection(this.fingerprint, send, () -> {
			send.promptRun().completed();
			completed(send.status());
		});
	}

	/**
	 * Record that a send was given up without a complete response.
	 * @param send the send
	 * @param overdue whether a response was due; otherwise a server counts as silent
	 * after the time in which all its connections should have brought something
	 */
	void givenUp(ServerSend send, boolean overdue) {
		boolean silent = send.server().lastReceivedAt() - send.sentAt() < 0;
		if (silent && (overdue || SilencePolicy.unresponsive((this.context.now() - send.sentAt()) / NANOS_PER_MS))) {
			this.ranAtCrash = true;
			this.context.crashCheck().silent(this.fingerprint, send);
		}
	}

	/**
	 * Record that there was no connection to a server.
	 * @param cause the cause
	 * @param server the server
	 */
	void notConnected(ServerChannels.Unavailable cause, ServerState server) {
		if (cause.refused()) {
			this.context.crashCheck().lifetimeEnded(server.observedLifetime());
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
			this.context.crashCheck().lifetimeEnded(server.observedLifetime());
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
	 * Return what identifies the request in records of crashes, for the log.
	 * @return the fingerprint in hexadecimal, and the prompt parts that others share
	 */
	@Override
	public String toString() {
		return Long.toHexString(this.fingerprint) + " parts=" + String.join(",", this.parts);
	}

}

package org.acaciamux.internal.transport.http.direct;

import java.util.Set;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.SendResult;

/**
 * Begins the second sends of one request: the takeover from a silent server and, where
 * hedging is on, the hedge of a slow one. Confined to the event loop.
 */
final class SecondSends {

	private final ServerTakeover takeover;

	/** Null while hedging is off. */
	private final HedgeSender hedge;

	/**
	 * Create the second sends of one request.
	 * @param context the shared components
	 * @param admitted the request
	 * @param policy decides whether it may run again
	 * @param crashes the crashes of servers that were running it
	 * @param second its send to another server
	 * @param takeOver gives up the silent send for the one to the other server
	 * @param check calls {@link #check}
	 */
	SecondSends(DirectContext context, AdmittedRequest admitted, AttemptPolicy policy, CrashHistory crashes,
			SecondSend second, Runnable takeOver, Runnable check) {
		this.takeover = new ServerTakeover(context, admitted, policy, crashes, second, takeOver);
		this.hedge = (context.hedging() != null) ? new HedgeSender(context, admitted, policy, crashes, second, check)
				: null;
	}

	/**
	 * Record that the request was sent.
	 * @param send the send
	 */
	void sent(ServerSend send) {
		if (this.hedge != null) {
			this.hedge.sent(send);
		}
	}

	/**
	 * Begin a second send, or complete a takeover, if it is time to.
	 * @param current the first send, which awaits its response
	 * @param tried ids of the servers that have already been tried
	 * @param readUntil time up to which everything that arrived has been read, monotonic
	 * in nanoseconds
	 */
	void check(ServerSend current, Set<String> tried, long readUntil) {
		this.takeover.check(current, tried, readUntil);
		if (this.hedge != null) {
			this.hedge.check(current, tried, readUntil);
		}
	}

	/**
	 * Record the first byte of the response that the caller gets.
	 * @param send the send that responded
	 */
	void responded(ServerSend send) {
		if (this.hedge != null) {
			this.hedge.responded(send);
		}
	}

	/**
	 * Record that a send has ended without a usable response.
	 * @param result how it ended
	 */
	void failed(SendResult result) {
		if (this.hedge != null) {
			this.hedge.failed(result);
		}
	}

	/**
	 * Record that the sends have ended.
	 */
	void ended() {
		if (this.hedge != null) {
			this.hedge.ended();
		}
	}

}

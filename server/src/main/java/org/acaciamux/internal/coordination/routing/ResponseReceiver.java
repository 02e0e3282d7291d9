package org.acaciamux.internal.coordination.routing;

import com.google.protobuf.ByteString;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.routing.RouterMetrics.Count;
import org.acaciamux.internal.protocol.wire.Chunk;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.ResponseHead;

/**
 * Receives the response of one trial. Invariants: the head is delivered once, bytes once
 * and in order, and the end only when all bytes were delivered; a missing piece is
 * requested a bounded number of times. Confined to the tasks of the request.
 */
final class ResponseReceiver {

	/** Resumes without new bytes after which the response is given up. */
	private static final int MAX_RESUMES = 8;

	private final RouterShared shared;

	private final Host host;

	private final ResponseProgress progress;

	private final long progressTimeoutMs;

	private boolean started;

	/**
	 * Whether missing bytes were requested recently, so that further gaps cause no other
	 * resume.
	 */
	private boolean resuming;

	private boolean awaitsResume;

	private int resumes;

	private long progressAt;

	private long resumedAt;

	private long consumedAt;

	ResponseReceiver(RouterShared shared, Host host, long progressTimeoutMs) {
		this.shared = shared;
		this.host = host;
		this.progress = new ResponseProgress(shared.settings().creditWindowBytes());
		this.progressTimeoutMs = progressTimeoutMs;
	}

	void head(ResponseHead head) {
		if (this.started) {
			countDropped(Count.DROPPED_STATE);
			return;
		}
		if (head.getStatus() < 200 || head.getStatus() > 599) {
			this.host.invalid("its status is " + head.getStatus());
			return;
		}
		this.started = true;
		this.resuming = false;
		this.awaitsResume = false;
		this.progressAt = this.shared.now();
		this.consumedAt = this.shared.now();
		this.host.started(head);
	}

	void chunk(Chunk chunk) {
		boolean callerTookAll = !this.progress.callerHasPendingBytes();
		ResponseProgress.Fit fit = this.started ? this.progress.accept(chunk) : ResponseProgress.Fit.GAP;
		switch (fit) {
			case OLD -> countDropped(Count.DROPPED_OFFSET);
			case GAP -> {
				countDropped(Count.DROPPED_OFFSET);
				tryResume();
			}
			case NEXT -> {
				if (callerTookAll) {
					// The caller had nothing to take until now.
					this.consumedAt = this.shared.now();
				}
				this.progressAt = this.shared.now();
				this.resuming = false;
				this.awaitsResume = false;
				this.resumes = 0;
				this.host.deliver(chunk.getData());
			}
		}
	}

	void end(long length) {
		if (this.started && length == this.progress.expected()) {
			this.host.complete();
			return;
		}
		if (length < this.progress.expected()) {
			this.host.invalid("it ends at " + length + " after " + this.progress.expected() + " bytes");
			return;
		}
		countDropped(Count.DROPPED_OFFSET);
		tryResume();
	}

	void consumed(long bytes) {
		int credit = this.progress.consumed(bytes);
		this.consumedAt = this.shared.now();
		if (credit > 0) {
			this.progressAt = this.shared.now();
			this.host.send(RequestFrames.credit(this.host.requestId(), credit));
		}
	}

	/**
	 * Ask the agent for everything that was not delivered yet, regardless of
	 * {@link #MAX_RESUMES}.
	 */
	void sendResume() {
		this.awaitsResume = true;
		this.resumedAt = this.shared.now();
		this.progressAt = this.shared.now();
		this.shared.metrics().count(Count.RESUMES);
		long offset = this.progress.expected();
		this.host.send(RequestFrames.resume(this.host.requestId(), offset, this.progress.grantForResume()));
	}

	/**
	 * Return whether nothing arrived since the agent was asked to continue.
	 * @return whether the agent's answer is awaited
	 */
	boolean awaitsResume() {
		return this.awaitsResume;
	}

	void tick() {
		if (!this.started) {
			return;
		}
		long stallMs = this.shared.settings().callerStallMs();
		if (this.progress.callerHasPendingBytes() && this.shared.passed(this.consumedAt, stallMs)) {
			this.host.fail(FailureCode.CANCELLED,
					"The caller took no bytes of the response for " + stallMs + " ms; read responses without pauses.");
			return;
		}
		// The agent reports a stalled backend server itself; the slack lets its report
		// arrive.
		long limitMs = this.progressTimeoutMs + this.shared.settings().progressSlackMs();
		if (this.progress.hasCredit() && this.shared.passed(this.progressAt, limitMs)) {
			this.host.fail(FailureCode.NO_PROGRESS, "The response made no progress for " + limitMs + " ms.");
			return;
		}
		if (this.resuming && this.shared.passed(this.resumedAt, this.shared.settings().resolveRetryMs())) {
			this.resuming = false;
			tryResume();
		}
	}

	private void tryResume() {
		if (this.resuming) {
			return;
		}
		if (this.resumes == MAX_RESUMES) {
			this.host.invalid("pieces of it are missing after " + MAX_RESUMES + " resumes");
			return;
		}
		this.resumes++;
		this.resuming = true;
		sendResume();
	}

	private void countDropped(Count count) {
		this.shared.metrics().count(count);
	}

	/**
	 * The trial that the response belongs to.
	 */
	interface Host {

		/**
		 * The response begins.
		 * @param head status and headers
		 */
		void started(ResponseHead head);

		/**
		 * The body continues.
		 * @param data the next bytes
		 */
		void deliver(ByteString data);

		/**
		 * The response is complete.
		 */
		void complete();

		/**
		 * Send a frame to the agent if there is a link.
		 * @param frame the frame
		 */
		void send(Frame frame);

		/**
		 * Return the id of the trial.
		 * @return the id
		 */
		RequestId requestId();

		/**
		 * The response cannot be completed.
		 * @param code the code for the caller
		 * @param detail what happened, why, and what to do next
		 */
		void fail(FailureCode code, String detail);

		/**
		 * The response contradicts the protocol between processes.
		 * @param reason what is wrong
		 */
		void invalid(String reason);

	}

}

package org.acaciamux.internal.coordination.admission;

import java.util.List;

import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Submit;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PrioritySpec;

/**
 * One request in an agent. Invariant: states only advance. Not thread-safe; guarded by
 * the lock of {@link AgentCore}, except for the immutable fields and {@link #isolated}.
 */
final class AgentRequest implements Queued {

	private final Submit submit;

	private final OrganisationSpec organisation;

	private final PrioritySpec priority;

	private final long arrivedMs;

	private final long progressTimeoutMs;

	private final ResponseSender stream;

	private final RequestTrace trace;

	private State state = State.NEW;

	private boolean admitted;

	private volatile boolean isolated;

	private boolean cancelled;

	private boolean paused;

	private Backend.Call call;

	private long lastProgressMs;

	private long detachedMs = -1;

	AgentRequest(Submit submit, OrganisationSpec organisation, PrioritySpec priority, PeerLink link, long arrivedMs,
			long progressTimeoutMs) {
		this.submit = submit;
		this.organisation = organisation;
		this.priority = priority;
		this.arrivedMs = arrivedMs;
		this.progressTimeoutMs = progressTimeoutMs;
		this.trace = new RequestTrace(submit, arrivedMs);
		this.stream = new ResponseSender(submit.getId(), link, Integer.toUnsignedLong(submit.getInitialCredit()));
	}

	@Override
	public OrganisationSpec organisation() {
		return this.organisation;
	}

	@Override
	public PrioritySpec priority() {
		return this.priority;
	}

	@Override
	public long arrivedMs() {
		return this.arrivedMs;
	}

	@Override
	public long deadlineMs() {
		return this.arrivedMs + Integer.toUnsignedLong(this.submit.getDeadlineMs());
	}

	Submit submit() {
		return this.submit;
	}

	RequestId id() {
		return this.submit.getId();
	}

	boolean keyed() {
		return this.submit.getKeyed();
	}

	ResponseSender stream() {
		return this.stream;
	}

	State state() {
		return this.state;
	}

	void advance(State next) {
		this.state = next;
	}

	/**
	 * Return whether the request counts as load.
	 * @return whether it holds an admission slot
	 */
	boolean admitted() {
		return this.admitted;
	}

	void admitted(boolean admitted) {
		this.admitted = admitted;
	}

	/**
	 * Return whether this is the isolated run of a crash suspect. May be called without
	 * the lock.
	 * @return whether the request holds the isolation slot
	 */
	boolean isolated() {
		return this.isolated;
	}

	void isolated(boolean isolated) {
		this.isolated = isolated;
	}

	RequestTrace trace() {
		return this.trace;
	}

	/**
	 * Return whether the request has reached a final state.
	 * @return whether the request ended or was refused
	 */
	boolean isFinal() {
		return this.state == State.ENDED || this.state == State.REFUSED;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void cancel(List<Runnable> effects) {
		if (!this.cancelled && this.call != null) {
			effects.add(this.call::cancel);
		}
		this.cancelled = true;
	}

	void callStarted(Backend.Call call, List<Runnable> effects) {
		this.call = call;
		if (this.paused) {
			call.pause();
		}
		if (this.cancelled) {
			effects.add(call::cancel);
		}
	}

	/**
	 * Pause or resume reading from the backend server, according to the unsent bytes. A
	 * keyed call is always read to its end, because its answer must be stored. The server
	 * cannot make progress while reading is paused, so its time without progress starts
	 * over.
	 * @param nowMs the time
	 */
	void applyBackpressure(long nowMs) {
		if (this.paused && this.stream.belowLowWater()) {
			this.paused = false;
			this.lastProgressMs = nowMs;
			if (this.call != null) {
				this.call.resume();
			}
		}
		else if (!this.paused && !keyed() && this.stream.aboveHighWater()) {
			this.paused = true;
			if (this.call != null) {
				this.call.pause();
			}
		}
	}

	boolean paused() {
		return this.paused;
	}

	/**
	 * Return the longest time without progress. A change of the pool does not affect
	 * requests that have arrived.
	 * @return the limit of the pool when the request arrived, in milliseconds
	 */
	long progressTimeoutMs() {
		return this.progressTimeoutMs;
	}

	long lastProgressMs() {
		return this.lastProgressMs;
	}

	void recordProgress(long nowMs) {
		this.lastProgressMs = nowMs;
	}

	/**
	 * Return since when the request has had no link to a router.
	 * @return milliseconds on the agent's monotonic clock, -1 while it has a link
	 */
	long detachedMs() {
		return this.detachedMs;
	}

	void detach(long nowMs) {
		this.stream.detach();
		this.detachedMs = nowMs;
	}

	void attach() {
		this.detachedMs = -1;
	}

	/**
	 * State of a request. Immutable and thread-safe.
	 */
	enum State {

		/** Admission has not been decided. */
		NEW,
		/** It waits in the queue. */
		QUEUED,
		/**
		 * It is being started, or it is a keyed call that is being refused. The claim of
		 * a keyed call is written in this state.
		 */
		CLAIMING,
		/** It was sent to the backend server, or is attached to a running call. */
		RUNNING,
		/** Its response is complete or broke off. */
		ENDED,
		/** This agent refused it: it did not run here and will not run here. */
		REFUSED

	}

}

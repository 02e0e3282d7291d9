package org.acaciamux.internal.coordination.admission;

import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Submit;
import org.acaciamux.internal.state.record.OrganisationSpec;
import org.acaciamux.internal.state.record.PrioritySpec;

/**
 * One request in an agent. Invariant: states only advance. Not thread-safe; guarded by
 * the lock of {@link AgentService}, except for the immutable fields.
 */
final class AgentRequest implements Queued {

	private final Submit submit;

	private final OrganisationSpec organisation;

	private final PrioritySpec priority;

	private final long arrivedMs;

	private final ResponseStream stream;

	private State state = State.NEW;

	private boolean admitted;

	private boolean cancelled;

	private boolean paused;

	private Backend.Call call;

	private long progressMs;

	private long detachedMs = -1;

	AgentRequest(Submit submit, OrganisationSpec organisation, PrioritySpec priority, PeerLink link, long arrivedMs) {
		this.submit = submit;
		this.organisation = organisation;
		this.priority = priority;
		this.arrivedMs = arrivedMs;
		this.stream = new ResponseStream(submit.getId(), link, Integer.toUnsignedLong(submit.getInitialCredit()));
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

	ResponseStream stream() {
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
	 * @return whether it holds a place under the load bound
	 */
	boolean admitted() {
		return this.admitted;
	}

	void admitted(boolean admitted) {
		this.admitted = admitted;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void cancel() {
		this.cancelled = true;
		if (this.call != null) {
			this.call.cancel();
		}
	}

	void started(Backend.Call call) {
		this.call = call;
		if (this.paused) {
			call.pause();
		}
		if (this.cancelled) {
			call.cancel();
		}
	}

	/**
	 * Pause or resume reading from the backend server, according to the bytes that wait.
	 * A keyed call is always read to its end, because its answer must be stored.
	 */
	void regulate() {
		if (this.paused && this.stream.belowLowWater()) {
			this.paused = false;
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

	long progressMs() {
		return this.progressMs;
	}

	void progress(long nowMs) {
		this.progressMs = nowMs;
	}

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

		/** No decision yet. */
		NEW,
		/** It waits for its turn. */
		QUEUED,
		/** It was admitted and its claim is being written. */
		CLAIMING,
		/** It was sent to the backend server, or is attached to a running call. */
		RUNNING,
		/** Its response is complete or broke off. */
		ENDED,
		/** It did not run and will not run. */
		REFUSED

	}

}

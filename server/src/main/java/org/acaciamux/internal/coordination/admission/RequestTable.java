package org.acaciamux.internal.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.RequestState;
import org.acaciamux.internal.protocol.wire.Resolution;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * The current and recently ended requests of an agent. Invariants: an id that was seen in
 * a request or in a query about one starts no further request while it is remembered;
 * ended responses together keep at most {@link #MAX_RETAINED_BYTES}. Not thread-safe.
 */
final class RequestTable {

	/** How long a response can be resumed after its end, in milliseconds. */
	static final long RESUME_KEEP_MS = 10_000;

	/** Total of the bytes that ended responses may keep. */
	static final long MAX_RETAINED_BYTES = 16L * 1024 * 1024;

	private static final int FINISHED_LIMIT = 50_000;

	private static final int ROUTER_LIMIT = 4_096;

	private static final long FINISHED_KEEP_MS = 600_000;

	private final Map<RequestId, AgentRequest> requests = new HashMap<>();

	private final Set<AgentRequest> started = new LinkedHashSet<>();

	private final Deque<RetainedResponse> retained = new ArrayDeque<>();

	private final FinishedRequests finished = new FinishedRequests(FINISHED_LIMIT, ROUTER_LIMIT, FINISHED_KEEP_MS);

	private long retainedBytes;

	boolean isKnown(RequestId id) {
		return this.requests.containsKey(id) || this.finished.find(id).isPresent();
	}

	void add(AgentRequest request) {
		this.requests.put(request.id(), request);
	}

	void started(AgentRequest request) {
		this.started.add(request);
	}

	Optional<AgentRequest> find(RequestId id) {
		return Optional.ofNullable(this.requests.get(id));
	}

	/**
	 * Return the requests that were started and whose response was not sent completely.
	 * @return a copy
	 */
	List<AgentRequest> started() {
		return new ArrayList<>(this.started);
	}

	/**
	 * Return the requests that the backend server runs.
	 * @return a copy
	 */
	List<AgentRequest> running() {
		return this.started.stream()
			.filter((request) -> request.admitted() && request.state() != AgentRequest.State.CLAIMING)
			.toList();
	}

	List<AgentRequest> forLink(PeerLink link) {
		return this.requests.values().stream().filter((request) -> request.stream().link() == link).toList();
	}

	/**
	 * Remove a refused request and remember its outcome.
	 * @param request the request
	 * @param outcome the outcome reported to the router
	 * @param nowMs the time
	 */
	void refused(AgentRequest request, WireOutcome outcome, long nowMs) {
		this.requests.remove(request.id());
		this.started.remove(request);
		this.finished.add(request.id(), RequestState.STATE_REFUSED, outcome, nowMs);
	}

	/**
	 * Remember the outcome of a request whose response ended; it can still be resumed.
	 * @param request the request
	 * @param outcome the outcome reported to the router
	 * @param nowMs the time
	 */
	void ended(AgentRequest request, WireOutcome outcome, long nowMs) {
		this.finished.add(request.id(), RequestState.STATE_ENDED, outcome, nowMs);
	}

	/**
	 * Keep a response only for resumes, because nothing more is sent unless a router
	 * resumes it.
	 * @param request the request
	 * @param nowMs the time
	 */
	void retain(AgentRequest request, long nowMs) {
		if (this.started.remove(request)) {
			long bytes = request.stream().retained() + request.submit().getBody().size();
			this.retained.addLast(new RetainedResponse(request, bytes, nowMs + RESUME_KEEP_MS));
			this.retainedBytes += bytes;
			expire(nowMs);
		}
	}

	void expire(long nowMs) {
		while (!this.retained.isEmpty()) {
			RetainedResponse oldest = this.retained.peekFirst();
			if (oldest.untilMs() > nowMs && this.retainedBytes <= MAX_RETAINED_BYTES) {
				return;
			}
			this.retained.removeFirst();
			this.retainedBytes -= oldest.bytes();
			this.requests.remove(oldest.request().id());
		}
	}

	/**
	 * Report the state and outcome of a request. The id of an unknown request is
	 * remembered, so that the request cannot run if it arrives after this report.
	 * @param id the request's id
	 * @param incarnation the agent's incarnation
	 * @param nowMs the time
	 * @return the resolution
	 */
	Resolution resolve(RequestId id, long incarnation, long nowMs) {
		Resolution.Builder resolution = Resolution.newBuilder().setId(id).setIncarnation(incarnation);
		Optional<FinishedRequests.Entry> entry = this.finished.find(id);
		if (entry.isPresent()) {
			return resolution.setState(entry.get().state()).setOutcome(entry.get().outcome()).build();
		}
		AgentRequest request = this.requests.get(id);
		if (request != null) {
			return resolution.setState(toWire(request.state())).build();
		}
		boolean certainlyNew = this.finished.isCertainlyNew(id);
		WireOutcome outcome = certainlyNew ? WireOutcome.OUTCOME_NOT_RUN : WireOutcome.OUTCOME_UNKNOWN;
		this.finished.add(id, RequestState.STATE_NOT_FOUND, outcome, nowMs);
		return resolution.setState(RequestState.STATE_NOT_FOUND).setOutcome(outcome).build();
	}

	private static RequestState toWire(AgentRequest.State state) {
		return switch (state) {
			case NEW, QUEUED, CLAIMING -> RequestState.STATE_QUEUED;
			case RUNNING -> RequestState.STATE_RUNNING;
			case ENDED -> RequestState.STATE_ENDED;
			case REFUSED -> RequestState.STATE_REFUSED;
		};
	}

	/**
	 * Return the number of requests in {@link #started()}.
	 * @return the requests whose claim is being written, that run, or whose response was
	 * not sent completely
	 */
	int unfinished() {
		return this.started.size();
	}

	/**
	 * Return the time since the arrival of the oldest started request.
	 * @param nowMs the time
	 * @return milliseconds, 0 if there is none
	 */
	long oldestMs(long nowMs) {
		return this.started.stream().mapToLong((request) -> nowMs - request.arrivedMs()).max().orElse(0);
	}

	int remembered() {
		return this.finished.size();
	}

	/**
	 * A response kept for resumes. Immutable.
	 *
	 * @param request the request
	 * @param bytes the size of the response tail and the request body that it keeps
	 * @param untilMs the time at which it is dropped
	 */
	private record RetainedResponse(AgentRequest request, long bytes, long untilMs) {
	}

}

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
 * The requests that an agent knows. Invariants: an id that was seen once, in a request or
 * in a question about one, never starts a request again while it is remembered; ended
 * responses together keep at most {@link #LINGERING_BYTES}. Not thread-safe.
 */
final class RequestTable {

	/** How long a response can be resumed after its end. */
	static final long LINGER_MS = 10_000;

	/** Bytes that ended responses may keep together. */
	static final long LINGERING_BYTES = 16L * 1024 * 1024;

	private static final int FINISHED_LIMIT = 50_000;

	private static final int ROUTER_LIMIT = 4_096;

	private static final long FINISHED_KEEP_MS = 600_000;

	private final Map<RequestId, AgentRequest> requests = new HashMap<>();

	private final Set<AgentRequest> started = new LinkedHashSet<>();

	private final Deque<Lingering> lingering = new ArrayDeque<>();

	private final FinishedRequests finished = new FinishedRequests(FINISHED_LIMIT, ROUTER_LIMIT, FINISHED_KEEP_MS);

	private long lingeringBytes;

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
	 * Return the requests that were admitted and whose response was not sent completely.
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

	List<AgentRequest> of(PeerLink link) {
		return this.requests.values().stream().filter((request) -> request.stream().link() == link).toList();
	}

	/**
	 * Forget a request that did not run.
	 * @param request the request
	 * @param outcome what the router was told
	 * @param nowMs the time
	 */
	void refused(AgentRequest request, WireOutcome outcome, long nowMs) {
		this.requests.remove(request.id());
		this.started.remove(request);
		this.finished.add(request.id(), RequestState.STATE_REFUSED, outcome, nowMs);
	}

	/**
	 * Note how a response ended; it can still be resumed.
	 * @param request the request
	 * @param outcome what the router is told
	 * @param nowMs the time
	 */
	void ended(AgentRequest request, WireOutcome outcome, long nowMs) {
		this.finished.add(request.id(), RequestState.STATE_ENDED, outcome, nowMs);
	}

	/**
	 * Keep a response for resumes only, because nothing more will be sent by itself.
	 * @param request the request
	 * @param nowMs the time
	 */
	void linger(AgentRequest request, long nowMs) {
		if (this.started.remove(request)) {
			long bytes = request.stream().retained() + request.submit().getBody().size();
			this.lingering.addLast(new Lingering(request, bytes, nowMs + LINGER_MS));
			this.lingeringBytes += bytes;
			expire(nowMs);
		}
	}

	void expire(long nowMs) {
		while (!this.lingering.isEmpty()) {
			Lingering oldest = this.lingering.peekFirst();
			if (oldest.untilMs() > nowMs && this.lingeringBytes <= LINGERING_BYTES) {
				return;
			}
			this.lingering.removeFirst();
			this.lingeringBytes -= oldest.bytes();
			this.requests.remove(oldest.request().id());
		}
	}

	/**
	 * Answer a question about a request. A request that is not known is remembered as
	 * refused, so that it cannot run if it arrives after this answer.
	 * @param id the request's id
	 * @param incarnation the agent's incarnation
	 * @param nowMs the time
	 * @return the answer
	 */
	Resolution resolve(RequestId id, long incarnation, long nowMs) {
		Resolution.Builder resolution = Resolution.newBuilder().setId(id).setIncarnation(incarnation);
		Optional<FinishedRequests.Entry> entry = this.finished.find(id);
		if (entry.isPresent()) {
			return resolution.setState(entry.get().state()).setOutcome(entry.get().outcome()).build();
		}
		AgentRequest request = this.requests.get(id);
		if (request != null) {
			return resolution.setState(wire(request.state())).build();
		}
		boolean certain = this.finished.isCertain(id);
		WireOutcome outcome = certain ? WireOutcome.OUTCOME_NOT_RUN : WireOutcome.OUTCOME_UNKNOWN;
		this.finished.add(id, RequestState.STATE_NOT_FOUND, outcome, nowMs);
		return resolution.setState(RequestState.STATE_NOT_FOUND).setOutcome(outcome).build();
	}

	private static RequestState wire(AgentRequest.State state) {
		return switch (state) {
			case NEW, QUEUED, CLAIMING -> RequestState.STATE_QUEUED;
			case RUNNING -> RequestState.STATE_RUNNING;
			case ENDED -> RequestState.STATE_ENDED;
			case REFUSED -> RequestState.STATE_REFUSED;
		};
	}

	/**
	 * Return how many requests are not finished yet, apart from those in the queue.
	 * @return the requests whose claim is being written, that run, or that were not sent
	 * completely
	 */
	int unfinished() {
		return this.started.size();
	}

	/**
	 * Return how long the oldest request has run.
	 * @param nowMs the time
	 * @return milliseconds, 0 if none runs
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
	 * @param bytes what it keeps
	 * @param untilMs when it is dropped
	 */
	private record Lingering(AgentRequest request, long bytes, long untilMs) {
	}

}

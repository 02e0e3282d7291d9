package org.acaciamux.internal.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.Failure;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.membership.PoolLoadView;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.WireOutcome;
import org.acaciamux.internal.state.LockRank;
import org.acaciamux.internal.state.RankedLock;
import org.acaciamux.internal.state.record.PoolSpec;
import org.acaciamux.internal.state.record.RecordView;

/**
 * The state of an agent and the state changes that all its parts share. Invariants: the
 * state changes only under the lock; calls to claims, suspects and the backend server are
 * made after the lock was released; each request gets exactly one {@code Refused} or
 * {@code End}, repeated only after a resume. Thread-safe.
 */
final class AgentCore {

	/** Number of recent requests whose trace is kept for {@code /dump}. */
	private static final int KEPT_TRACES = 256;

	private final RankedLock lock = new RankedLock(LockRank.ADMISSION);

	private final AdmissionControl<AgentRequest> admission = new AdmissionControl<>();

	private final RequestTable table = new RequestTable();

	private final BackendHealth<AgentRequest> health = new BackendHealth<>();

	private final Deque<RequestTrace> traces = new ArrayDeque<>();

	private final AgentIdentity identity;

	private final RecordView records;

	private final PoolLoadView loads;

	private final NanoClock clock;

	private final AgentMetrics metrics;

	private Consumer<AgentRequest> onStart = (request) -> {
	};

	/**
	 * Isolated requests that the current update refused; {@link #onSuspectRefused} runs
	 * for them once the lock was released.
	 */
	private final List<AgentRequest> refusedSuspects = new ArrayList<>();

	private Consumer<AgentRequest> onSuspectRefused = (request) -> {
	};

	private volatile int limit = 1;

	AgentCore(AgentIdentity identity, RecordView records, PoolLoadView loads, NanoClock clock, AgentMetrics metrics) {
		this.identity = identity;
		this.records = records;
		this.loads = loads;
		this.clock = clock;
		this.metrics = metrics;
		metrics.gauge("load", () -> read(this.admission::load));
		metrics.gauge("queued", () -> read(() -> this.admission.queue().size()));
		metrics.gauge("limit", () -> this.limit);
		metrics.gauge("remembered", () -> read(this.table::remembered));
	}

	void onStart(Consumer<AgentRequest> action) {
		this.onStart = action;
	}

	void onSuspectRefused(Consumer<AgentRequest> action) {
		this.onSuspectRefused = action;
	}

	AgentIdentity identity() {
		return this.identity;
	}

	RecordView records() {
		return this.records;
	}

	AgentMetrics metrics() {
		return this.metrics;
	}

	AdmissionControl<AgentRequest> admission() {
		return this.admission;
	}

	RequestTable table() {
		return this.table;
	}

	BackendHealth<AgentRequest> health() {
		return this.health;
	}

	int limit() {
		return this.limit;
	}

	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime());
	}

	/**
	 * Read the pool's settings and load; call it before {@link #update}, because reading
	 * takes locks of lower ranks.
	 * @return the settings and load at this moment
	 */
	PoolSnapshot pool() {
		PoolSpec spec = this.records.pool(this.identity.pool())
			.orElseGet(() -> PoolSpec.plainDefaults(this.identity.pool()));
		return new PoolSnapshot(spec, this.loads.poolLoad());
	}

	/**
	 * Change the state under the lock, then run the effects without it.
	 * @param step changes the state and adds the effects, which may call other parts
	 */
	void update(Consumer<List<Runnable>> step) {
		List<Runnable> effects = new ArrayList<>();
		this.lock.run(() -> {
			step.accept(effects);
			this.refusedSuspects.forEach((request) -> effects.add(() -> this.onSuspectRefused.accept(request)));
			this.refusedSuspects.clear();
		});
		effects.forEach(Runnable::run);
	}

	/**
	 * Read the state under the lock.
	 * @param <T> the type of the value
	 * @param supplier reads the state
	 * @return the value
	 */
	<T> T read(Supplier<T> supplier) {
		return this.lock.get(supplier);
	}

	/**
	 * Admit queued requests. The caller must hold the lock.
	 * @param pool the current settings and load of the pool
	 * @param effects receives the actions that start the admitted requests
	 */
	void admitQueued(PoolSnapshot pool, List<Runnable> effects) {
		updateLimit(pool);
		for (AgentRequest request : this.admission.admit(pool.spec(), pool.load(), nowMs())) {
			this.metrics.time("queueWait", nowMs() - request.arrivedMs());
			startAdmitted(request, effects);
		}
	}

	/**
	 * Recompute the load bound that frames and metrics report. The caller must hold the
	 * lock.
	 * @param pool the current settings and load of the pool
	 */
	void updateLimit(PoolSnapshot pool) {
		this.limit = AdmissionControl.limit(pool.spec(), pool.load(), this.admission.load());
	}

	/**
	 * Start a request that holds an admission slot. The caller must hold the lock.
	 * @param request the request
	 * @param effects receives the action that starts it
	 */
	void startAdmitted(AgentRequest request, List<Runnable> effects) {
		request.admitted(true);
		traceStep(request, "admitted");
		this.metrics.count("admitted");
		start(request, effects);
	}

	/**
	 * Start a request, even one that holds no admission slot, such as a keyed call that
	 * is expected to replay a stored answer. The caller must hold the lock.
	 * @param request the request
	 * @param effects receives the action that starts it
	 */
	void start(AgentRequest request, List<Runnable> effects) {
		request.advance(AgentRequest.State.CLAIMING);
		request.recordProgress(nowMs());
		this.table.started(request);
		effects.add(() -> this.onStart.accept(request));
	}

	/**
	 * Release the admission slot of a request, if it holds one. The caller must hold the
	 * lock.
	 * @param request the request
	 * @param served whether the backend server completed it
	 */
	void release(AgentRequest request, boolean served) {
		if (request.admitted()) {
			request.admitted(false);
			this.admission.ended(served, nowMs());
		}
	}

	/**
	 * Refuse a request and tell its router. The caller must hold the lock.
	 * @param request the request
	 * @param refusal why
	 */
	void refuse(AgentRequest request, Refusal refusal) {
		if (request.isFinal()) {
			return;
		}
		Failure failure = refusal.failure();
		request.advance(AgentRequest.State.REFUSED);
		if (request.isolated()) {
			this.refusedSuspects.add(request);
		}
		traceStep(request, "refused: " + failure.code().code() + (refusal.redirect() ? ", redirected" : ""));
		this.metrics.count((refusal.redirect() ? "redirected." : "refused.") + failure.code().code());
		this.table.refused(request, ResponseFrames.toWire(failure.outcome()), nowMs());
		if (request.stream().link() != null) {
			Refused.Builder refused = ResponseFrames.refused(request.id(), refusal)
				.setLoad(this.admission.load())
				.setLimit(this.limit)
				.setQueued(this.admission.queue().size());
			request.stream().link().send(Frame.newBuilder().setRefused(refused).build());
		}
	}

	/**
	 * End a request; the end of its response is sent after the remaining bytes. The
	 * caller must hold the lock.
	 * @param request the request
	 * @param failure why it broke off, null if it is complete
	 */
	void end(AgentRequest request, Failure failure) {
		if (markEnded(request, failure)) {
			request.stream().end(failure, this.admission.load());
			retainIfFinished(request);
		}
	}

	/**
	 * End a request and its response at once, without sending the remaining bytes. The
	 * caller must hold the lock.
	 * @param request the request
	 * @param failure why
	 */
	void abort(AgentRequest request, Failure failure) {
		if (markEnded(request, failure)) {
			request.stream().abort(failure, this.admission.load());
			retainIfFinished(request);
		}
	}

	private boolean markEnded(AgentRequest request, Failure failure) {
		if (request.isFinal()) {
			return false;
		}
		request.advance(AgentRequest.State.ENDED);
		Outcome outcome = (failure != null) ? failure.outcome() : Outcome.ANSWERED;
		String code = (failure != null) ? failure.code().code() : "complete";
		traceStep(request, "ended: " + code + " after " + request.stream().length() + " bytes");
		this.metrics.count("ended." + code);
		WireOutcome wire = ResponseFrames.toWire(outcome);
		this.table.ended(request, wire, nowMs());
		return true;
	}

	/**
	 * Keep the response of an ended request only for resumes, if the request holds no
	 * admission slot and the end of the response was sent or there is no link to send it
	 * over. The caller must hold the lock.
	 * @param request the request
	 */
	void retainIfFinished(AgentRequest request) {
		boolean nothingToSend = request.stream().endSent() || request.stream().link() == null;
		if (request.state() == AgentRequest.State.ENDED && nothingToSend && !request.admitted()) {
			this.table.retain(request, nowMs());
		}
	}

	/**
	 * Add a step to the trace of a request for {@code /dump}. The caller must hold the
	 * lock.
	 * @param request the request
	 * @param description what happened
	 */
	void traceStep(AgentRequest request, String description) {
		request.trace().step(description, nowMs());
	}

	/**
	 * Keep the trace of a new request and drop the oldest trace if there are too many.
	 * The caller must hold the lock.
	 * @param request the request
	 */
	void keepTrace(AgentRequest request) {
		this.traces.addLast(request.trace());
		if (this.traces.size() > KEPT_TRACES) {
			this.traces.removeFirst();
		}
	}

	/**
	 * Return the traces of the most recent requests. The caller must hold the lock.
	 * @return the traces, the oldest first
	 */
	Deque<RequestTrace> traces() {
		return this.traces;
	}

	/**
	 * The settings and load of the pool at one moment. Immutable and thread-safe.
	 *
	 * @param spec the settings
	 * @param load the load of the other members
	 */
	record PoolSnapshot(PoolSpec spec, PoolLoad load) {
	}

}

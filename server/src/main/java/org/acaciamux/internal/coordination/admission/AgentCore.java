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
 * The state of an agent and the steps that all its parts share. Invariants: the state
 * changes only under the lock; calls to claims, suspects and the backend server are made
 * after the lock was released; each request gets exactly one {@code Refused} or
 * {@code End}, repeated only after a resume. Thread-safe.
 */
final class AgentCore {

	/** Requests that are kept for {@code /dump}. */
	private static final int TRACES = 256;

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

	private Consumer<AgentRequest> launcher = (request) -> {
	};

	private final List<AgentRequest> refusedSuspects = new ArrayList<>();

	private Consumer<AgentRequest> leaver = (request) -> {
	};

	private volatile int limit = 1;

	AgentCore(AgentIdentity identity, RecordView records, PoolLoadView loads, NanoClock clock, AgentMetrics metrics) {
		this.identity = identity;
		this.records = records;
		this.loads = loads;
		this.clock = clock;
		this.metrics = metrics;
		metrics.gauge("load", () -> get(this.admission::load));
		metrics.gauge("queued", () -> get(() -> this.admission.queue().size()));
		metrics.gauge("limit", () -> this.limit);
		metrics.gauge("remembered", () -> get(this.table::remembered));
	}

	void launcher(Consumer<AgentRequest> launcher) {
		this.launcher = launcher;
	}

	void leaver(Consumer<AgentRequest> leaver) {
		this.leaver = leaver;
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
	 * Read the pool's settings and load; call it before {@link #act}, because reading
	 * takes locks of lower ranks.
	 * @return the pool now
	 */
	PoolNow pool() {
		PoolSpec spec = this.records.pool(this.identity.pool())
			.orElseGet(() -> PoolSpec.plainDefaults(this.identity.pool()));
		return new PoolNow(spec, this.loads.poolLoad());
	}

	/**
	 * Change the state under the lock and run the effects afterwards.
	 * @param step changes the state and adds effects
	 */
	void act(Consumer<List<Runnable>> step) {
		List<Runnable> effects = new ArrayList<>();
		this.lock.run(() -> {
			step.accept(effects);
			this.refusedSuspects.forEach((request) -> effects.add(() -> this.leaver.accept(request)));
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
	<T> T get(Supplier<T> supplier) {
		return this.lock.get(supplier);
	}

	/**
	 * Admit queued requests. Under the lock.
	 * @param pool the pool now
	 * @param effects receives the starts
	 */
	void admitQueued(PoolNow pool, List<Runnable> effects) {
		noteLimit(pool);
		for (AgentRequest request : this.admission.admit(pool.spec(), pool.load(), nowMs())) {
			this.metrics.time("queueWait", nowMs() - request.arrivedMs());
			launch(request, effects);
		}
	}

	/**
	 * Note the load bound for frames and metrics. Under the lock.
	 * @param pool the pool now
	 */
	void noteLimit(PoolNow pool) {
		this.limit = AdmissionControl.limit(pool.spec(), pool.load(), this.admission.load());
	}

	/**
	 * Start an admitted request. Under the lock.
	 * @param request the request
	 * @param effects receives the start
	 */
	void launch(AgentRequest request, List<Runnable> effects) {
		request.admitted(true);
		step(request, "admitted");
		this.metrics.count("admitted");
		prepare(request, effects);
	}

	/**
	 * Start a request, which may hold no place under the load bound. Under the lock.
	 * @param request the request
	 * @param effects receives the start
	 */
	void prepare(AgentRequest request, List<Runnable> effects) {
		request.advance(AgentRequest.State.CLAIMING);
		request.progress(nowMs());
		this.table.started(request);
		effects.add(() -> this.launcher.accept(request));
	}

	/**
	 * Give back the place under the load bound. Under the lock.
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
	 * Tell the router that a request does not run here. Under the lock.
	 * @param request the request
	 * @param refusal why
	 */
	void refuse(AgentRequest request, Refusal refusal) {
		if (request.isOver()) {
			return;
		}
		Failure failure = refusal.failure();
		request.advance(AgentRequest.State.REFUSED);
		if (request.isolated()) {
			this.refusedSuspects.add(request);
		}
		step(request, "refused: " + failure.code().code() + (refusal.redirect() ? ", redirected" : ""));
		this.metrics.count((refusal.redirect() ? "redirected." : "refused.") + failure.code().code());
		this.table.refused(request, Frames.wire(failure.outcome()), nowMs());
		if (request.stream().link() != null) {
			Refused.Builder refused = Frames.refused(request.id(), refusal)
				.setLoad(this.admission.load())
				.setLimit(this.limit)
				.setQueued(this.admission.queue().size());
			request.stream().link().send(Frame.newBuilder().setRefused(refused).build());
		}
	}

	/**
	 * End a response after its last byte. Under the lock.
	 * @param request the request
	 * @param failure why it broke off, null if it is complete
	 */
	void end(AgentRequest request, Failure failure) {
		if (conclude(request, failure)) {
			request.stream().end(failure, this.admission.load());
			settle(request);
		}
	}

	/**
	 * End a response at once, without the bytes that were not sent yet. Under the lock.
	 * @param request the request
	 * @param failure why
	 */
	void abort(AgentRequest request, Failure failure) {
		if (conclude(request, failure)) {
			request.stream().abort(failure, this.admission.load());
			settle(request);
		}
	}

	private boolean conclude(AgentRequest request, Failure failure) {
		if (request.isOver()) {
			return false;
		}
		request.advance(AgentRequest.State.ENDED);
		Outcome outcome = (failure != null) ? failure.outcome() : Outcome.ANSWERED;
		String code = (failure != null) ? failure.code().code() : "complete";
		step(request, "ended: " + code + " after " + request.stream().length() + " bytes");
		this.metrics.count("ended." + code);
		WireOutcome wire = Frames.wire(outcome);
		this.table.ended(request, wire, nowMs());
		return true;
	}

	/**
	 * Move a response that needs no more work to those kept for resumes. Under the lock.
	 * @param request the request
	 */
	void settle(AgentRequest request) {
		boolean over = request.stream().endSent() || request.stream().link() == null;
		if (request.state() == AgentRequest.State.ENDED && over && !request.admitted()) {
			this.table.linger(request, nowMs());
		}
	}

	/**
	 * Note a step of a request for {@code /dump}. Under the lock.
	 * @param request the request
	 * @param what the step
	 */
	void step(AgentRequest request, String what) {
		request.trace().step(what, nowMs());
	}

	/**
	 * Keep the trace of a request that has arrived. Under the lock.
	 * @param request the request
	 */
	void trace(AgentRequest request) {
		this.traces.addLast(request.trace());
		if (this.traces.size() > TRACES) {
			this.traces.removeFirst();
		}
	}

	/**
	 * Return the traces of the most recent requests. Under the lock.
	 * @return the traces, the oldest first
	 */
	Deque<RequestTrace> traces() {
		return this.traces;
	}

	/**
	 * The pool at one moment. Immutable and thread-safe.
	 *
	 * @param spec the settings
	 * @param load the load of the other members
	 */
	record PoolNow(PoolSpec spec, PoolLoad load) {
	}

}

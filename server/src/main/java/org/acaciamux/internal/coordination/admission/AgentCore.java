package org.acaciamux.internal.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.Failure;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.membership.PoolLoadView;
import org.acaciamux.internal.coordination.membership.PoolLoadView.PoolLoad;
import org.acaciamux.internal.protocol.PeerLink;
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
 * {@code End} per link. Thread-safe.
 */
final class AgentCore {

	private final RankedLock lock = new RankedLock(LockRank.ADMISSION);

	private final AdmissionControl<AgentRequest> admission = new AdmissionControl<>();

	private final RequestTable table = new RequestTable();

	private final AgentIdentity identity;

	private final RecordView records;

	private final PoolLoadView loads;

	private final NanoClock clock;

	private Consumer<AgentRequest> launcher = (request) -> {
	};

	AgentCore(AgentIdentity identity, RecordView records, PoolLoadView loads, NanoClock clock) {
		this.identity = identity;
		this.records = records;
		this.loads = loads;
		this.clock = clock;
	}

	void launcher(Consumer<AgentRequest> launcher) {
		this.launcher = launcher;
	}

	AgentIdentity identity() {
		return this.identity;
	}

	RecordView records() {
		return this.records;
	}

	AdmissionControl<AgentRequest> admission() {
		return this.admission;
	}

	RequestTable table() {
		return this.table;
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
		this.lock.run(() -> step.accept(effects));
		effects.forEach(Runnable::run);
	}

	/**
	 * Admit queued requests. Under the lock.
	 * @param pool the pool now
	 * @param effects receives the starts
	 */
	void admitQueued(PoolNow pool, List<Runnable> effects) {
		for (AgentRequest request : this.admission.admit(pool.spec(), pool.load(), nowMs())) {
			launch(request, effects);
		}
	}

	/**
	 * Start an admitted request. Under the lock.
	 * @param request the request
	 * @param effects receives the start
	 */
	void launch(AgentRequest request, List<Runnable> effects) {
		request.admitted(true);
		prepare(request, effects);
	}

	/**
	 * Start a request that holds no place under the load bound. Under the lock.
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
	 * @param failure why
	 * @param redirect whether the router may try another server at once
	 */
	void refuse(AgentRequest request, Failure failure, boolean redirect) {
		if (request.state() == AgentRequest.State.REFUSED || request.state() == AgentRequest.State.ENDED) {
			return;
		}
		request.advance(AgentRequest.State.REFUSED);
		this.table.refused(request, Frames.wire(failure.outcome()), nowMs());
		sendRefused(request.stream().link(), Frames.refused(request.id(), failure, redirect));
	}

	void sendRefused(PeerLink link, Refused.Builder refused) {
		if (link != null) {
			refused.setLoad(this.admission.load()).setQueued(this.admission.queue().size());
			link.send(Frame.newBuilder().setRefused(refused).build());
		}
	}

	/**
	 * End a response after its last byte. Under the lock.
	 * @param request the request
	 * @param failure why it broke off, null if it is complete
	 */
	void end(AgentRequest request, Failure failure) {
		if (!conclude(request, failure)) {
			return;
		}
		request.stream().end(failure, this.admission.load());
		settle(request);
	}

	/**
	 * End a response at once, without the bytes that were not sent yet. Under the lock.
	 * @param request the request
	 * @param failure why
	 */
	void abort(AgentRequest request, Failure failure) {
		if (!conclude(request, failure)) {
			return;
		}
		request.stream().abort(failure, this.admission.load());
		settle(request);
	}

	private boolean conclude(AgentRequest request, Failure failure) {
		if (request.state() == AgentRequest.State.ENDED || request.state() == AgentRequest.State.REFUSED) {
			return false;
		}
		request.advance(AgentRequest.State.ENDED);
		Outcome outcome = (failure != null) ? failure.outcome() : Outcome.ANSWERED;
		WireOutcome wire = Frames.wire(outcome);
		this.table.ended(request, wire, nowMs());
		return true;
	}

	/**
	 * Move a response whose end was sent to those kept for resumes. Under the lock.
	 * @param request the request
	 */
	void settle(AgentRequest request) {
		boolean over = request.stream().endSent() || request.stream().link() == null;
		if (request.state() == AgentRequest.State.ENDED && over && !request.admitted()) {
			this.table.linger(request, nowMs());
		}
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

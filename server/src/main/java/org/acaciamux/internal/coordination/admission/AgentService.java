package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agrona.concurrent.NanoClock;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.claim.CallClaims;
import org.acaciamux.internal.coordination.membership.LocalAgentState;
import org.acaciamux.internal.coordination.membership.PoolLoadView;
import org.acaciamux.internal.coordination.quarantine.SuspectTable;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Credit;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Resume;
import org.acaciamux.internal.protocol.wire.Submit;
import org.acaciamux.internal.protocol.wire.SuspectEntry;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Serves routers: accepts requests, streams responses within the credit, and reports how
 * requests ended. Invariants: see {@link AgentCore}. Thread-safe; no method blocks.
 */
public final class AgentService implements FrameHandler, LocalAgentState {

	/** Period in which {@link #tick} is to be called, in milliseconds. */
	public static final long TICK_MS = 50;

	private final AgentCore core;

	private final KeyedCalls keyedCalls;

	private final SuspectGate suspectGate;

	private final SuspectTable suspects;

	private final BackendMonitor monitor;

	private final AgentSweep sweep;

	private final AgentDrain drain;

	private final ChatCache cache;

	private final Set<PeerLink> links = ConcurrentHashMap.newKeySet();

	/**
	 * Create the service.
	 * @param identity the identity of this agent
	 * @param records the configuration records in force
	 * @param loads the load of the pool; never called under a lock of rank ADMISSION
	 * @param server the backend server
	 * @param claims decides on keyed calls; empty refuses them
	 * @param suspects the crash suspects
	 * @param clock the monotonic clock
	 * @param registry receives the metrics
	 */
	public AgentService(AgentIdentity identity, RecordView records, PoolLoadView loads, Server server,
			Optional<CallClaims> claims, SuspectTable suspects, NanoClock clock, MetricRegistry registry) {
		this.core = new AgentCore(identity, records, loads, clock, new AgentMetrics(registry));
		this.keyedCalls = new KeyedCalls(this.core, claims);
		this.suspects = suspects;
		this.suspectGate = new SuspectGate(this.core, suspects);
		this.monitor = new BackendMonitor(this.core, server.backend(), this.suspectGate);
		this.cache = server.cache();
		ChatHandover handover = new ChatHandover(identity.pool(), server.cache(), server.offers());
		RequestRunner runner = new RequestRunner(this.core, server.backend(), this.keyedCalls, this.suspectGate,
				this.monitor, handover);
		this.core.onStart(runner::launch);
		this.core.onSuspectRefused(this.suspectGate::leave);
		this.sweep = new AgentSweep(this.core, this.keyedCalls);
		this.drain = new AgentDrain(this.core, handover);
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		switch (frame.getBodyCase()) {
			case SUBMIT -> submit(link, frame.getSubmit());
			case CREDIT -> credit(frame.getCredit());
			case CANCEL -> cancel(frame.getCancel().getId());
			case RESUME -> resume(link, frame.getResume());
			case RESOLVE -> this.core.update((effects) -> sendResolution(link, frame.getResolve().getId()));
			case KV_OFFER -> this.cache.importChat(frame.getKvOffer().getCache());
			default -> {
				// Other parts of the process handle the remaining frames.
			}
		}
	}

	private void submit(PeerLink link, Submit submit) {
		watch(link);
		AgentCore.PoolSnapshot pool = this.core.pool();
		AgentRequest request = new AgentRequest(submit, this.core.records().organisation(submit.getOrganisation()),
				this.core.records().priority(submit.getPriority()), link, this.core.nowMs(),
				pool.spec().progressTimeoutMs());
		Optional<Refusal> suspectRefusal = this.suspectGate.enter(request, pool);
		this.core.update((effects) -> {
			if (this.core.table().isKnown(submit.getId())) {
				this.core.metrics().count(AgentMetrics.Name.REPEATED_IDS);
				effects.add(() -> this.suspectGate.leave(request));
				return;
			}
			this.core.updateLimit(pool);
			this.core.table().add(request);
			this.core.keepTrace(request);
			detachIfClosed(request, link);
			Optional<Refusal> refusal = checkPool(request).or(() -> suspectRefusal);
			if (refusal.isPresent()) {
				this.core.refuse(request, refusal.get().withProvableOutcome(request));
				return;
			}
			offer(request, pool, effects);
		});
	}

	private Optional<Refusal> checkPool(AgentRequest request) {
		String served = this.core.identity().pool();
		if (!request.submit().getPool().equals(served)) {
			String detail = "This agent serves pool " + served + ", not " + request.submit().getPool();
			return Optional.of(Refusal.redirect(Failure.notRun(FailureCode.UNKNOWN_POOL, detail, 0)));
		}
		return Optional.empty();
	}

	private void offer(AgentRequest request, AgentCore.PoolSnapshot pool, List<Runnable> effects) {
		if (request.keyed() && this.keyedCalls.isKnown(request, pool.spec().keyRetentionMs())) {
			this.core.start(request, effects);
			return;
		}
		boolean onlyHere = request.keyed() || request.isolated();
		boolean mayRedirect = !request.submit().getFinalTrial() && !onlyHere;
		AdmissionControl.Verdict verdict = this.core.admission()
			.offer(request, pool.spec(), pool.load(), mayRedirect, this.core.nowMs());
		switch (verdict.decision()) {
			case ADMIT -> this.core.startAdmitted(request, effects);
			case QUEUE -> queued(request);
			case REDIRECT ->
				this.core.refuse(request, Refusal.redirect(verdict.failure()).withProvableOutcome(request));
			case REFUSE -> this.keyedCalls.refuse(request, Refusal.refuse(verdict.failure()), effects);
		}
	}

	private void queued(AgentRequest request) {
		request.advance(AgentRequest.State.QUEUED);
		this.core.traceStep(request, "queued behind " + (this.core.admission().queue().size() - 1));
		this.core.metrics().count(AgentMetrics.Name.QUEUED);
	}

	private void credit(Credit credit) {
		this.core.update((effects) -> this.core.table().find(credit.getId()).ifPresent((request) -> {
			request.stream().credit(Integer.toUnsignedLong(credit.getBytes()));
			request.applyBackpressure(this.core.nowMs());
			this.core.retainIfFinished(request);
		}));
	}

	private void cancel(RequestId id) {
		this.core.update((effects) -> this.core.table().find(id).ifPresent((request) -> callerGone(request, effects)));
	}

	private void callerGone(AgentRequest request, List<Runnable> effects) {
		this.core.traceStep(request, "the caller went away");
		if (this.core.admission().remove(request)) {
			this.core.refuse(request, Refusal.cancelled().withProvableOutcome(request));
			return;
		}
		request.detach(this.core.nowMs());
		if (!request.keyed()) {
			request.cancel(effects);
			this.core.retainIfFinished(request);
		}
	}

	private void resume(PeerLink link, Resume resume) {
		watch(link);
		this.core.update((effects) -> {
			Optional<AgentRequest> found = this.core.table().find(resume.getId());
			if (found.isEmpty()) {
				sendResolution(link, resume.getId());
				return;
			}
			resume(found.get(), link, resume);
		});
	}

	private void resume(AgentRequest request, PeerLink link, Resume resume) {
		this.core.traceStep(request, "resumed at offset " + resume.getOffset());
		request.attach();
		long credit = Integer.toUnsignedLong(resume.getInitialCredit());
		if (!request.stream().resume(link, resume.getOffset(), credit)) {
			Failure failure = Failure.unknown(FailureCode.BACKEND_FAILED,
					"The response bytes from offset " + resume.getOffset() + " on are no longer kept", 0);
			long length = request.stream().length();
			link.send(ResponseFrames.brokenOff(request.id(), length, failure, this.core.admission().load()));
			return;
		}
		detachIfClosed(request, link);
		request.applyBackpressure(this.core.nowMs());
		this.core.retainIfFinished(request);
	}

	private void detachIfClosed(AgentRequest request, PeerLink link) {
		// The link may have closed after watch() but before the request was bound to
		// it; linkClosed() did not find the request in that case.
		if (!link.isOpen()) {
			request.detach(this.core.nowMs());
		}
	}

	private void sendResolution(PeerLink link, RequestId id) {
		link.send(Frame.newBuilder()
			.setResolution(this.core.table().resolve(id, this.core.identity().incarnation(), this.core.nowMs()))
			.build());
	}

	private void watch(PeerLink link) {
		if (this.links.add(link)) {
			link.onClose((reason) -> linkClosed(link));
			link.onWritable(() -> linkWritable(link));
		}
	}

	private void linkClosed(PeerLink link) {
		this.links.remove(link);
		this.core.update((effects) -> this.core.table().forLink(link).forEach((request) -> {
			this.core.traceStep(request, "the connection to the router was lost");
			request.detach(this.core.nowMs());
			this.core.retainIfFinished(request);
		}));
	}

	private void linkWritable(PeerLink link) {
		this.core.update((effects) -> this.core.table().forLink(link).forEach((request) -> {
			request.stream().pump();
			request.applyBackpressure(this.core.nowMs());
			this.core.retainIfFinished(request);
		}));
	}

	/**
	 * Probe the backend server, apply timeouts and advance the drain. To be called every
	 * {@link #TICK_MS} milliseconds.
	 */
	public void tick() {
		this.monitor.probeIfDue();
		this.sweep.run(this.core.pool());
		this.drain.tick();
	}

	/**
	 * Refuse new work from now on and finish what was accepted.
	 */
	public void drain() {
		this.drain.begin();
	}

	/**
	 * Refuse the queued requests as not run, so that routers can use other agents before
	 * this one ends.
	 */
	public void refuseQueued() {
		this.drain.refuseQueued();
	}

	/**
	 * Return what the drain waits for.
	 * @return the progress; the process may stop once it is done
	 */
	public DrainProgress drainProgress() {
		return this.drain.progress();
	}

	/**
	 * Return what is queued, by organisation and priority.
	 * @return one entry per organisation and priority with queued work
	 */
	public List<FairQueue.Backlog> backlog() {
		return this.core.read(() -> this.core.admission().queue().backlog(this.core.nowMs()));
	}

	/**
	 * Describe the state and recent requests, without bodies, headers, keys and chats.
	 * @return the state as JSON
	 */
	public ObjectNode dump() {
		return AgentDump.of(this.core, this.core.pool(), drainProgress(), suspects());
	}

	@Override
	public int load() {
		return this.core.read(this.core.admission()::load);
	}

	@Override
	public int queued() {
		return this.core.read(this.core.admission().queue()::size);
	}

	@Override
	public boolean leaving() {
		return this.core.read(this.core.admission()::draining);
	}

	@Override
	public boolean backendDown() {
		return this.core.read(() -> this.core.health().state() == BackendHealth.State.DOWN);
	}

	@Override
	public List<SuspectEntry> suspects() {
		return this.suspects.entries(this.core.nowMs());
	}

	@Override
	public void mergeSuspects(List<SuspectEntry> entries) {
		this.suspects.merge(entries, this.core.nowMs());
	}

	/**
	 * The backend server and the interfaces to its cache. Immutable and thread-safe.
	 *
	 * @param backend runs requests
	 * @param cache the server's KV cache
	 * @param offers sends caches to other agents during a drain
	 */
	public record Server(Backend backend, ChatCache cache, ChatOffers offers) {
	}

}

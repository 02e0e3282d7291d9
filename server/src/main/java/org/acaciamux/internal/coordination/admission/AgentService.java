package org.acaciamux.internal.coordination.admission;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.agrona.concurrent.NanoClock;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.claim.CallClaims;
import org.acaciamux.internal.coordination.membership.PoolLoadView;
import org.acaciamux.internal.protocol.FrameHandler;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.Cancel;
import org.acaciamux.internal.protocol.wire.Credit;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Resolve;
import org.acaciamux.internal.protocol.wire.Resume;
import org.acaciamux.internal.protocol.wire.Submit;
import org.acaciamux.internal.state.record.RecordView;

/**
 * Serves routers: takes requests, streams responses within the credit, and answers what
 * became of a request. Invariants: see {@link AgentCore}. Thread-safe; {@link #handle}
 * does not block.
 */
public final class AgentService implements FrameHandler {

	private final AgentCore core;

	private final RequestRunner runner;

	private final Set<PeerLink> links = ConcurrentHashMap.newKeySet();

	/**
	 * Create the service.
	 * @param identity who this agent is
	 * @param records the records in force
	 * @param loads the load of the pool
	 * @param backend the backend server
	 * @param claims decides on keyed calls; empty refuses them
	 * @param clock the monotonic clock
	 */
	public AgentService(AgentIdentity identity, RecordView records, PoolLoadView loads, Backend backend,
			Optional<CallClaims> claims, NanoClock clock) {
		this.core = new AgentCore(identity, records, loads, clock);
		this.runner = new RequestRunner(this.core, backend, claims);
		this.core.launcher(this.runner::launch);
	}

	@Override
	public void handle(PeerLink link, Frame frame) {
		switch (frame.getBodyCase()) {
			case SUBMIT -> submit(link, frame.getSubmit());
			case CREDIT -> credit(frame.getCredit());
			case CANCEL -> cancel(frame.getCancel());
			case RESUME -> resume(link, frame.getResume());
			case RESOLVE -> resolve(link, frame.getResolve());
			default -> {
			}
		}
	}

	private void submit(PeerLink link, Submit submit) {
		watch(link);
		AgentRequest request = new AgentRequest(submit, this.core.records().organisation(submit.getOrganisation()),
				this.core.records().priority(submit.getPriority()), link, this.core.nowMs());
		AgentCore.PoolNow pool = this.core.pool();
		this.core.act((effects) -> {
			if (this.core.table().isKnown(submit.getId())) {
				return;
			}
			this.core.table().add(request);
			if (!submit.getPool().equals(this.core.identity().pool())) {
				this.core.refuse(request, Failure.notRun(FailureCode.UNKNOWN_POOL,
						"This agent serves pool " + this.core.identity().pool(), 0), true);
				return;
			}
			offer(request, pool, effects);
		});
	}

	private void offer(AgentRequest request, AgentCore.PoolNow pool, List<Runnable> effects) {
		boolean mayRedirect = !request.submit().getFinalTrial() && !request.keyed();
		AdmissionControl.Verdict verdict = this.core.admission()
			.offer(request, pool.spec(), pool.load(), mayRedirect, this.core.nowMs());
		switch (verdict.decision()) {
			case ADMIT -> this.core.launch(request, effects);
			case QUEUE -> request.advance(AgentRequest.State.QUEUED);
			case REDIRECT -> this.core.refuse(request, verdict.failure(), true);
			case REFUSE -> this.core.refuse(request, verdict.failure(), false);
		}
	}

	private void credit(Credit credit) {
		this.core.act((effects) -> this.core.table().find(credit.getId()).ifPresent((request) -> {
			request.stream().credit(Integer.toUnsignedLong(credit.getBytes()));
			request.regulate();
			this.core.settle(request);
		}));
	}

	private void cancel(Cancel cancel) {
		this.core.act((effects) -> this.core.table().find(cancel.getId()).ifPresent(this::callerGone));
	}

	private void callerGone(AgentRequest request) {
		if (this.core.admission().remove(request)) {
			this.core.refuse(request, Failure.notRun(FailureCode.CANCELLED, "The caller went away", 0), false);
			return;
		}
		request.detach(this.core.nowMs());
		if (!request.keyed()) {
			request.cancel();
		}
	}

	private void resume(PeerLink link, Resume resume) {
		watch(link);
		this.core.act((effects) -> {
			Optional<AgentRequest> found = this.core.table().find(resume.getId());
			if (found.isEmpty()) {
				sendResolution(link, resume.getId());
				return;
			}
			AgentRequest request = found.get();
			request.attach();
			boolean kept = request.stream()
				.resume(link, resume.getOffset(), Integer.toUnsignedLong(resume.getInitialCredit()));
			if (!kept) {
				Failure failure = Failure.unknown(FailureCode.BACKEND_FAILED,
						"The response bytes from offset " + resume.getOffset() + " on are no longer kept", 0);
				link.send(Frames.brokenOff(request.id(), request.stream().length(), failure,
						this.core.admission().load()));
				return;
			}
			request.regulate();
			this.core.settle(request);
		});
	}

	private void resolve(PeerLink link, Resolve resolve) {
		this.core.act((effects) -> sendResolution(link, resolve.getId()));
	}

	private void sendResolution(PeerLink link, org.acaciamux.internal.protocol.wire.RequestId id) {
		link.send(Frame.newBuilder()
			.setResolution(this.core.table().resolve(id, this.core.identity().incarnation(), this.core.nowMs()))
			.build());
	}

	private void watch(PeerLink link) {
		if (this.links.add(link)) {
			link.onClose((reason) -> closed(link));
		}
	}

	private void closed(PeerLink link) {
		this.links.remove(link);
		this.core.act((effects) -> {
			long nowMs = this.core.nowMs();
			for (AgentRequest request : new HashSet<>(this.core.table().of(link))) {
				request.detach(nowMs);
				this.core.settle(request);
			}
		});
	}

}

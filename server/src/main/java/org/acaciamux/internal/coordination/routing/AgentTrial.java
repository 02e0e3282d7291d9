package org.acaciamux.internal.coordination.routing;

import com.google.protobuf.ByteString;

import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.membership.MembershipEvidence;
import org.acaciamux.internal.coordination.routing.RouterMetrics.Count;
import org.acaciamux.internal.event.EventLog;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.Resolution;
import org.acaciamux.internal.protocol.wire.ResponseHead;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * One trial of a request. The request is sent to one agent once; when a link is lost, the
 * response is followed over a new link to the same agent. Invariants: the request is sent
 * over the first link only; a frame is processed only if it carries the trial's id and
 * arrives over the trial's current link. Confined to the tasks of the request.
 */
final class AgentTrial implements LinkRecovery.Host, ResponseReceiver.Host {

	private final RouterShared shared;

	private final RouterCall call;

	private final Trials.PlannedTrial planned;

	private final RequestId id;

	private final ResponseReceiver response;

	private final LinkRecovery recovery;

	private PeerLink link;

	private long agentIncarnation;

	/**
	 * Resolve frames sent over the current link that the agent has not answered. A
	 * resolution beyond their number is the agent's reply to a resume that it cannot
	 * fulfil.
	 */
	private int pendingResolves;

	private boolean started;

	AgentTrial(RouterShared shared, RouterCall call, Trials.PlannedTrial planned, RequestId id,
			long progressTimeoutMs) {
		this.shared = shared;
		this.call = call;
		this.planned = planned;
		this.id = id;
		this.response = new ResponseReceiver(shared, this, progressTimeoutMs);
		this.recovery = new LinkRecovery(shared, this);
	}

	void submit(PeerLink to, RoutedRequest request, boolean keyed, long remainingMs, int attempt) {
		this.link = to;
		this.agentIncarnation = to.peer().incarnation();
		int credit = this.shared.settings().creditWindowBytes();
		to.send(RequestFrames.submit(this.id, request, keyed, this.planned, remainingMs, attempt, credit));
		this.shared.table().attach(this.call, to);
	}

	boolean started() {
		return this.started;
	}

	String agent() {
		return this.planned.member().id();
	}

	/**
	 * End the trial: stop its recovery and detach it from its link.
	 * @param cancel whether the agent is told to cancel the request
	 */
	void end(boolean cancel) {
		if (cancel) {
			cancelAtAgent();
		}
		this.recovery.stop();
		detachLink();
	}

	void cancelAtAgent() {
		send(RequestFrames.cancel(this.id));
	}

	void handle(PeerLink from, RequestId frameId, Frame frame) {
		if (!frameId.equals(this.id)) {
			count(Count.DROPPED_UNKNOWN_ID);
			return;
		}
		if (from != this.link) {
			count(Count.DROPPED_LINK);
			return;
		}
		evidence().heardFrom(agent(), this.agentIncarnation);
		if (this.recovery.active() && !this.recovery.awaitsResolution()) {
			// The silent link works again before a new link was opened.
			this.recovery.stop();
		}
		switch (frame.getBodyCase()) {
			case HEAD -> this.response.head(frame.getHead());
			case CHUNK -> this.response.chunk(frame.getChunk());
			case END -> onEnd(frame.getEnd());
			case REFUSED -> onRefused(frame.getRefused());
			case RESOLUTION -> onResolution(frame.getResolution());
			default -> count(Count.DROPPED_STATE);
		}
	}

	void linkLost(PeerLink lost, String reason) {
		if (lost == this.link) {
			this.link = null;
			recover(lost, "closed: " + reason);
		}
	}

	void linkSilent(PeerLink silent) {
		if (silent == this.link && !this.recovery.active()) {
			recover(silent, "silent");
		}
	}

	void consumed(long bytes) {
		this.response.consumed(bytes);
	}

	void tick() {
		if (this.recovery.active()) {
			this.recovery.tick();
			return;
		}
		this.response.tick();
	}

	private void onEnd(End end) {
		evidence().loadReported(agent(), end.getLoad());
		if (end.getFailureCode().isEmpty()) {
			this.response.end(end.getLength());
			return;
		}
		this.call.failedByAgent(end);
	}

	private void onRefused(Refused refused) {
		if (this.started) {
			count(Count.DROPPED_STATE);
			return;
		}
		evidence().loadReported(agent(), refused.getLoad());
		if (refused.getFailureCode().equals(FailureCode.DRAINING.code())) {
			evidence().leaving(agent());
		}
		this.call.onRefused(refused);
	}

	private void recover(PeerLink lost, String reason) {
		this.call.step("link to agent %s is %s", agent(), reason);
		count(Count.RECOVERIES);
		evidence().unreachable(agent());
		this.recovery.start(lost, this.planned.member());
	}

	private void onResolution(Resolution resolution) {
		boolean unsolicited = this.pendingResolves == 0;
		this.pendingResolves = Math.max(0, this.pendingResolves - 1);
		if (unsolicited && this.response.awaitsResume()) {
			unresolved("its agent no longer keeps the rest of the response");
			return;
		}
		if (unsolicited || !this.recovery.awaitsResolution()) {
			count(Count.DROPPED_STATE);
			return;
		}
		this.recovery.stop();
		this.call.step("agent %s resolved: %s", agent(), resolution.getState());
		if (resolution.getIncarnation() != this.agentIncarnation) {
			unresolved("its agent restarted and no longer knows the request");
			return;
		}
		switch (resolution.getState()) {
			case STATE_QUEUED, STATE_RUNNING, STATE_ENDED -> this.response.sendResume();
			case STATE_NOT_FOUND, STATE_REFUSED -> onNotRunning(resolution.getOutcome());
			default -> unresolved("its agent did not report the state of the request");
		}
	}

	/**
	 * Handle the answer that the agent does not run the request. An outcome of not-run is
	 * proof of that: the agent remembers the id as refused from then on, so the request
	 * cannot run even if it arrives later over the old link.
	 * @param outcome what the agent can prove
	 */
	private void onNotRunning(WireOutcome outcome) {
		if (this.started || outcome != WireOutcome.OUTCOME_NOT_RUN) {
			unresolved("its agent does not know for certain whether it ran");
			return;
		}
		this.call.onProvedNotRun();
	}

	@Override
	public void runSerially(Runnable task) {
		this.call.runSerially(task);
	}

	@Override
	public boolean moveTo(PeerLink to) {
		if (to.peer().incarnation() != this.agentIncarnation) {
			unresolved("its agent restarted and no longer knows the request");
			return false;
		}
		detachLink();
		this.link = to;
		this.pendingResolves = 0;
		this.shared.table().attach(this.call, to);
		return true;
	}

	@Override
	public void askState() {
		this.pendingResolves++;
		send(RequestFrames.resolve(this.id));
	}

	@Override
	public void unresolved(String reason) {
		count(Count.UNRESOLVED);
		EventLog.log(RoutingEvent.REQUEST_UNRESOLVED, this.call.idText(), agent(), reason);
		fail(FailureCode.AGENT_LOST, "The connection to the agent was lost and the request could not be resolved, "
				+ "because " + reason + "; the request may have run.");
	}

	@Override
	public void started(ResponseHead head) {
		this.started = true;
		evidence().loadReported(agent(), head.getLoad());
		this.call.onResponseStarted(head);
	}

	@Override
	public void deliver(ByteString data) {
		this.call.deliver(data);
	}

	@Override
	public void complete() {
		this.call.complete();
	}

	@Override
	public void send(Frame frame) {
		if (this.link != null) {
			this.link.send(frame);
		}
	}

	@Override
	public RequestId requestId() {
		return this.id;
	}

	@Override
	public void fail(FailureCode code, String detail) {
		this.call.cancelAndFail(code, detail);
	}

	@Override
	public void invalid(String reason) {
		EventLog.log(RoutingEvent.RESPONSE_INVALID, this.call.idText(), agent(), reason);
		fail(FailureCode.PROTOCOL_ERROR, "The response is not usable, because " + reason + ".");
	}

	private void detachLink() {
		if (this.link != null) {
			this.shared.table().detach(this.call, this.link);
			this.link = null;
		}
	}

	private MembershipEvidence evidence() {
		return this.shared.context().evidence();
	}

	private void count(Count count) {
		this.shared.metrics().count(count);
	}

}

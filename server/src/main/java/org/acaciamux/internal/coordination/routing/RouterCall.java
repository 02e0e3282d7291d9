package org.acaciamux.internal.coordination.routing;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.coordination.routing.RouterMetrics.Count;
import org.acaciamux.internal.protocol.PeerLink;
import org.acaciamux.internal.protocol.wire.End;
import org.acaciamux.internal.protocol.wire.Frame;
import org.acaciamux.internal.protocol.wire.Refused;
import org.acaciamux.internal.protocol.wire.RequestId;
import org.acaciamux.internal.protocol.wire.ResponseHead;
import org.acaciamux.internal.protocol.wire.WireOutcome;
import org.acaciamux.internal.state.record.PoolSpec;

/**
 * The life cycle of one request in a router. An attempt is one send by the caller; a
 * trial is one send to one agent. Invariants: the sink is ended exactly once unless the
 * caller cancels; a new trial starts only when the earlier one is proved not to run or
 * its agent does not own the partition of the key; {@code not-run} is reported only when
 * no trial can run. Thread-safe: all work runs serially in {@link CallTasks}.
 */
final class RouterCall implements RoutedCall {

	/**
	 * Time in milliseconds in which the agent of a cancelled request may prove that it
	 * did not run.
	 */
	private static final long PROOF_LIMIT_MS = 200;

	private final CallTasks tasks = new CallTasks();

	private final RouterShared shared;

	private final RoutedRequest request;

	private final PoolSpec pool;

	private final ResponseSink sink;

	private final Trials trials;

	private final RouteTrace trace;

	private final boolean keyed;

	private final RetryRules retries;

	private final long startedAt;

	private final long deadlineAt;

	private volatile String state = "waits";

	private RequestId id = RequestId.getDefaultInstance();

	/** Plan of the trial whose agent is being connected or that was sent. */
	private Trials.PlannedTrial planned;

	/** The trial after it was sent; null before, while its agent is being connected. */
	private AgentTrial trial;

	private long connectingAt;

	/** Number of the current wait for a link; results of earlier waits are ignored. */
	private int linkWaitNumber;

	private boolean ended;

	/** Whether the process ends soon, so that no other trial may start. */
	private boolean stopping;

	private long stoppingAt;

	/**
	 * Whether the trial sent most recently may have run or may run later, as nothing
	 * proves the opposite.
	 */
	private boolean currentTrialMayHaveRun;

	private boolean anyTrialSent;

	/**
	 * Whether an earlier trial ended without its agent's proof that it did not run.
	 */
	private boolean earlierTrialMayHaveRun;

	private long retryAfterMs;

	RouterCall(RouterShared shared, RoutedRequest request, PoolSpec pool, boolean keyed, Trials trials,
			ResponseSink sink, RouteTrace trace) {
		this.shared = shared;
		this.request = request;
		this.pool = pool;
		this.keyed = keyed;
		this.retries = new RetryRules(shared, keyed);
		this.trials = trials;
		this.sink = sink;
		this.trace = trace;
		this.retryAfterMs = shared.settings().retryAfterMs();
		this.startedAt = shared.now();
		this.deadlineAt = this.startedAt + RouterShared.nanos(request.deadlineMs());
	}

	void start() {
		runSerially(() -> {
			newId();
			nextTrial();
		});
	}

	void handle(PeerLink from, RequestId frameId, Frame frame) {
		runSerially(() -> {
			if (this.trial == null) {
				this.shared.metrics().count(Count.DROPPED_UNKNOWN_ID);
				return;
			}
			this.trial.handle(from, frameId, frame);
		});
	}

	void linkLost(PeerLink lost, String reason) {
		runInTrial(() -> this.trial.linkLost(lost, reason));
	}

	void linkSilent(PeerLink silent) {
		runInTrial(() -> this.trial.linkSilent(silent));
	}

	@Override
	public void consumed(long bytes) {
		runInTrial(() -> this.trial.consumed(bytes));
	}

	@Override
	public void cancel() {
		runSerially(() -> {
			if (!this.ended) {
				this.shared.metrics().count(Count.CANCELLED);
				end(true, "cancelled: the caller went away");
			}
		});
	}

	void tick() {
		runSerially(() -> {
			if (!this.ended) {
				checkLimits();
			}
		});
	}

	/**
	 * Answer the request unless its response has begun. One that was sent is cancelled
	 * first, because its agent can prove that it did not run if it is still queued.
	 */
	void refuseUnanswered() {
		runSerially(() -> {
			if (this.ended || this.stopping || responseStarted()) {
				return;
			}
			this.stopping = true;
			this.stoppingAt = this.shared.now();
			if (this.trial == null) {
				refuseStopping();
				return;
			}
			this.trial.cancelAtAgent();
		});
	}

	void runSerially(Runnable task) {
		this.tasks.run(task);
	}

	/**
	 * Describe the request for the report of a drain. The result may be slightly out of
	 * date.
	 * @return the state and the age
	 */
	String describe() {
		return this.state + ", " + RouterShared.millis(this.shared.now() - this.startedAt) + " ms old";
	}

	String idText() {
		return Long.toHexString(this.id.getIncarnation()) + "-" + this.id.getSequence();
	}

	void step(String template, Object... args) {
		this.trace.step(this.shared.now(), template, args);
	}

	private void runInTrial(Runnable task) {
		runSerially(() -> {
			if (this.trial != null) {
				task.run();
			}
		});
	}

	private void newId() {
		this.id = this.shared.table().newId(this);
		this.trace.requestId(idText());
	}

	private void nextTrial() {
		endTrial(false);
		if (this.stopping) {
			refuseStopping();
			return;
		}
		this.planned = this.trials.next().orElse(null);
		if (this.planned == null) {
			fail(ownFailure(this.trials.exhaustedCode(), this.trials.exhaustedDetail()));
			return;
		}
		updateState("connects to");
		this.connectingAt = this.shared.now();
		int waitNumber = ++this.linkWaitNumber;
		this.shared.context().links().link(this.planned.member()).whenComplete((result, error) -> runSerially(() -> {
			if (waitNumber == this.linkWaitNumber) {
				connected(result, error);
			}
		}));
	}

	private void connected(Either<Failure, PeerLink> result, Throwable error) {
		this.linkWaitNumber++;
		if (error != null || result.isLeft()) {
			unreachable((error != null) ? error.toString() : result.getLeft().detail());
			return;
		}
		if (!result.get().isOpen()) {
			unreachable("the link was closed at once");
			return;
		}
		submit(result.get());
	}

	private void unreachable(String reason) {
		step("agent %s is not reachable: %s", this.planned.member().id(), reason);
		this.shared.context().evidence().unreachable(this.planned.member().id());
		this.trials.notReached(false);
		nextTrial();
	}

	private void submit(PeerLink link) {
		long remaining = RouterShared.millis(this.deadlineAt - this.shared.now());
		if (remaining <= 0) {
			deadlinePassed();
			return;
		}
		if (this.anyTrialSent) {
			this.shared.table().forgetId(this.id);
			newId();
		}
		step("sent to agent %s%s", this.planned.member().id(), this.planned.last() ? " as last trial" : "");
		updateState("waits for");
		this.shared.metrics().count(Count.TRIALS);
		this.currentTrialMayHaveRun = true;
		// 0 is unknown: with 1 the agent may report not-run despite the earlier trial.
		int attempt = this.earlierTrialMayHaveRun ? 0 : this.request.attempt();
		this.anyTrialSent = true;
		this.trial = new AgentTrial(this.shared, this, this.planned, this.id, this.pool.progressTimeoutMs());
		this.trial.submit(link, this.request, this.keyed, remaining, attempt);
	}

	void onRefused(Refused refused) {
		step("agent %s refused: %s, load %d of %d, %d queued", this.trial.agent(), refused.getFailureCode(),
				refused.getLoad(), refused.getLimit(), refused.getQueued());
		this.currentTrialMayHaveRun = refused.getOutcome() != WireOutcome.OUTCOME_NOT_RUN;
		if (this.stopping) {
			refuseStopping();
			return;
		}
		FailureCode code = WireFailures.code(refused.getFailureCode());
		if (refused.getRetryAfterMs() > 0) {
			this.retryAfterMs = refused.getRetryAfterMs();
		}
		if (this.retries.mayTryNext(code, refused, this.currentTrialMayHaveRun, this.planned.last())) {
			this.earlierTrialMayHaveRun = this.earlierTrialMayHaveRun || this.currentTrialMayHaveRun;
			this.trials.redirected(refused);
			nextTrial();
			return;
		}
		fail(new Failure(code, WireFailures.outcome(refused.getOutcome()), refused.getDetail(),
				refused.getRetryAfterMs()));
	}

	void onProvedNotRun() {
		this.currentTrialMayHaveRun = false;
		if (!this.retries.allowed()) {
			fail(ownFailure(FailureCode.AGENT_UNREACHABLE,
					"The request did not reach the agent and the retry budget is "
							+ "used up; send it again after the delay."));
			return;
		}
		this.trials.notReached(true);
		nextTrial();
	}

	void onResponseStarted(ResponseHead head) {
		this.shared.metrics().head(this.shared.now() - this.startedAt);
		if (!head.getReplayed() && !head.getServer().isEmpty()) {
			this.request.chat()
				.ifPresent((chat) -> this.shared.context().chooser().served(this.pool.name(), chat, head.getServer()));
			this.request.affinity()
				.ifPresent((affinityServer) -> this.shared.metrics()
					.countAffinity(this.pool.name(), affinityServer.equals(head.getServer())));
		}
		step("response with status %d and load %d", head.getStatus(), head.getLoad());
		updateState("streams from");
		this.sink.head(head, idText());
	}

	void deliver(ByteString data) {
		this.sink.body(data);
	}

	void complete() {
		this.shared.metrics().count(Count.ANSWERED);
		end(false, "answered");
		this.sink.end();
	}

	void failedByAgent(End end) {
		fail(new Failure(WireFailures.code(end.getFailureCode()), WireFailures.outcome(end.getOutcome()),
				end.getDetail(), this.shared.settings().retryAfterMs()));
	}

	void cancelAndFail(FailureCode code, String detail) {
		this.trial.cancelAtAgent();
		fail(ownFailure(code, detail));
	}

	private boolean responseStarted() {
		return this.trial != null && this.trial.started();
	}

	private void refuseStopping() {
		boolean mayHaveRun = this.currentTrialMayHaveRun || this.earlierTrialMayHaveRun;
		fail(ownFailure(mayHaveRun ? FailureCode.DEADLINE_EXCEEDED : FailureCode.DRAINING,
				"This router ends before a response began; send the request again over a new connection."));
	}

	private void checkLimits() {
		boolean started = responseStarted();
		if (this.stopping && this.shared.passed(this.stoppingAt, PROOF_LIMIT_MS)) {
			refuseStopping();
			return;
		}
		long grace = (this.trial != null) ? this.shared.settings().deadlineGraceMs() : 0;
		if (!started && this.shared.passed(this.deadlineAt, grace)) {
			deadlinePassed();
			return;
		}
		if (this.trial != null) {
			this.trial.tick();
			return;
		}
		if (this.shared.passed(this.connectingAt, this.shared.settings().connectLimitMs())) {
			this.linkWaitNumber++;
			unreachable("no connection within " + this.shared.settings().connectLimitMs() + " ms");
		}
	}

	private void deadlinePassed() {
		if (this.trial != null) {
			this.trial.cancelAtAgent();
		}
		fail(ownFailure(FailureCode.DEADLINE_EXCEEDED, "The deadline of " + this.request.deadlineMs()
				+ " ms passed before a response began; send the request again with a later deadline."));
	}

	/**
	 * Create a failure that the router itself detected, with the outcome that it can
	 * prove.
	 * @param code the code
	 * @param detail what happened, why, and what to do next
	 * @return the failure
	 */
	private Failure ownFailure(FailureCode code, String detail) {
		Outcome outcome = (this.currentTrialMayHaveRun || this.earlierTrialMayHaveRun) ? Outcome.UNKNOWN
				: this.request.outcomeIfNeverSent();
		return new Failure(code, outcome, detail, this.retryAfterMs);
	}

	private void fail(Failure failure) {
		boolean started = responseStarted();
		this.shared.metrics().failed(failure);
		end(false, failure.code().code() + ", " + failure.outcome().headerValue());
		if (started) {
			this.shared.metrics().count(Count.ABORTED);
			this.sink.abort(failure);
		}
		else {
			this.sink.fail(failure, idText());
		}
	}

	private void end(boolean cancel, String result) {
		this.ended = true;
		this.linkWaitNumber++;
		endTrial(cancel);
		this.trace.result(result);
		step("ended: %s", result);
		this.shared.metrics().total(this.shared.now() - this.startedAt);
		this.shared.table().forgetId(this.id);
		this.shared.table().remove(this);
	}

	private void endTrial(boolean cancel) {
		if (this.trial != null) {
			this.trial.end(cancel);
			this.trial = null;
		}
	}

	private void updateState(String verb) {
		this.state = "request " + idText() + " " + verb + " agent " + this.planned.member().id();
	}

}

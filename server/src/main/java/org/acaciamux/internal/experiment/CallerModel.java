package org.acaciamux.internal.experiment;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServiceRoute;
import org.acaciamux.internal.coordination.speed.ServerSpeed;

/**
 * One request of a caller, who retries once after a refusal and gives up at the time
 * limit. Invariant: exactly one outcome is recorded. Used by one thread.
 */
final class CallerModel {

	/** Largest share of the remaining time that a caller waits before a retry. */
	private static final double MAX_RETRY_DELAY_SHARE = 1.0 / 3;

	private final FleetModel fleet;

	private final ExperimentLoad.Kind kind;

	private final ServiceRoute route;

	private final String organisation;

	private final List<PromptPart> prompt;

	private final String id;

	private final double startedMs;

	private double firstTokenMs = -1;

	private boolean retried;

	private boolean finished;

	CallerModel(FleetModel fleet, ExperimentLoad.Kind kind, ServiceRoute route, String organisation,
			List<PromptPart> prompt, String id) {
		this.fleet = fleet;
		this.kind = kind;
		this.route = route;
		this.organisation = organisation;
		this.prompt = prompt;
		this.id = id;
		this.startedMs = fleet.timeline().ms();
	}

	void send() {
		RouterModel router = this.fleet.router();
		long remainingMs = remainingMs();
		CallerRequest request = new CallerRequest(this.retried ? this.id + "r" : this.id, "", "/", remainingMs,
				Optional.empty(), this.prompt, 0, this.kind.outputTokens());
		Admission.WaitClass waitClass = router.arrived(this.route, this.organisation);
		Optional<ServerState> server = router.choose(request);
		OptionalLong slotFreeMs = router.refusal(server.orElseThrow(), this.route, waitClass);
		if (slotFreeMs.isPresent()) {
			handleRefusal(slotFreeMs.getAsLong(), remainingMs);
			return;
		}
		run(router, server.get());
	}

	private long remainingMs() {
		return this.kind.limitMs() - Math.round(this.fleet.timeline().ms() - this.startedMs);
	}

	private void handleRefusal(long slotFreeMs, long remainingMs) {
		long wait = Admission.retryAfterMs(slotFreeMs, remainingMs, this.fleet.random().nextDouble());
		if (this.retried || wait > remainingMs * MAX_RETRY_DELAY_SHARE) {
			finish(Outcomes.Outcome.REFUSED);
			return;
		}
		this.retried = true;
		this.fleet.timeline().after(wait, this::send);
	}

	private void run(RouterModel router, ServerState server) {
		SimulatedServer engine = this.fleet.engine(server.entry().id());
		int unreadTokens = server.started(this.prompt);
		router.sent(server, this.prompt);
		double sentMs = this.fleet.timeline().ms();
		Timeline timeline = this.fleet.timeline();
		SentRequest sent = new SentRequest(router, server, engine, unreadTokens, sentMs);
		EngineRun run = new EngineRun(this.prompt, this.kind.outputTokens(), sent);
		timeline.after(this.fleet.hopMs(), () -> {
			if (!this.finished) {
				engine.accept(run);
				this.fleet.accepted(engine);
			}
		});
		timeline.after(remainingMs(), () -> {
			if (!this.finished) {
				engine.cancel(run);
				sent.release();
				finish(Outcomes.Outcome.TIMED_OUT);
			}
		});
	}

	private void finish(Outcomes.Outcome outcome) {
		this.finished = true;
		this.fleet.outcomes()
			.add(this.kind, this.organisation, this.startedMs, this.firstTokenMs, outcome, this.retried);
	}

	private final class SentRequest implements EngineRun.Listener {

		private final RouterModel router;

		private final ServerState server;

		private final SimulatedServer engine;

		private final double sentMs;

		private final ServerSpeed.Run speedRun;

		private int unreadTokens;

		SentRequest(RouterModel router, ServerState server, SimulatedServer engine, int unreadTokens, double sentMs) {
			this.router = router;
			this.server = server;
			this.engine = engine;
			this.unreadTokens = unreadTokens;
			this.sentMs = sentMs;
			double units = CallerModel.this.prompt.isEmpty() ? 1 : CallerModel.this.kind.outputTokens();
			this.speedRun = server.speed().started(units, nanos());
		}

		@Override
		public void firstToken() {
			CallerModel.this.fleet.timeline().after(CallerModel.this.fleet.hopMs(), () -> {
				if (!CallerModel.this.finished) {
					CallerModel.this.firstTokenMs = now() - CallerModel.this.startedMs;
					this.server.promptRead(this.unreadTokens);
					this.unreadTokens = 0;
				}
			});
		}

		@Override
		public void ended() {
			CallerModel.this.fleet.timeline().after(CallerModel.this.fleet.hopMs(), () -> {
				if (CallerModel.this.finished) {
					return;
				}
				this.router.reported(this.server, this.engine.load(), nanos());
				this.server.speed().completed(this.speedRun, nanos());
				release();
				this.router.answered(Math.round(now() - this.sentMs));
				boolean inTime = CallerModel.this.firstTokenMs <= CallerModel.this.kind.goalMs();
				finish(inTime ? Outcomes.Outcome.IN_TIME : Outcomes.Outcome.LATE);
			});
		}

		void release() {
			this.server.promptRead(this.unreadTokens);
			this.unreadTokens = 0;
			this.server.speed().ended(this.speedRun);
			this.server.ended();
		}

		private long nanos() {
			return CallerModel.this.fleet.timeline().nanoTime();
		}

		private double now() {
			return CallerModel.this.fleet.timeline().ms();
		}

	}

}

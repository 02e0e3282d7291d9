package org.acaciamux.internal.experiment;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.acaciamux.internal.coordination.direct.Admission;
import org.acaciamux.internal.coordination.direct.CallerRequest;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.direct.ServiceRoute;

/**
 * One request of a caller, who comes back once after a refusal and leaves at the time
 * limit. Invariant: exactly one outcome is counted. Used by one thread.
 */
final class CallerModel {

	/** Share of the remaining time up to which callers follow a Retry-After. */
	private static final double LONGEST_RETURN = 1.0 / 3;

	private final FleetModel fleet;

	private final ExperimentLoad.Kind kind;

	private final ServiceRoute route;

	private final String organisation;

	private final List<PromptPart> prompt;

	private final String id;

	private final double startedMs;

	private double firstMs = -1;

	private boolean returned;

	private boolean over;

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
		long leftMs = leftMs();
		CallerRequest request = new CallerRequest(this.returned ? this.id + "r" : this.id, "", "/", leftMs,
				Optional.empty(), this.prompt, 0, this.kind.outputTokens());
		Admission.WaitClass claim = router.arrived(this.route, this.organisation);
		Optional<ServerState> server = router.choose(request);
		OptionalLong placeMs = router.refusal(server.orElseThrow(), this.route, claim);
		if (placeMs.isPresent()) {
			refused(placeMs.getAsLong(), leftMs);
			return;
		}
		run(router, server.get());
	}

	private long leftMs() {
		return this.kind.limitMs() - Math.round(this.fleet.timeline().ms() - this.startedMs);
	}

	private void refused(long placeMs, long leftMs) {
		long wait = Admission.retryAfterMs(placeMs, leftMs, this.fleet.random().nextDouble());
		if (this.returned || wait > leftMs * LONGEST_RETURN) {
			end(Outcomes.Outcome.REFUSED);
			return;
		}
		this.returned = true;
		this.fleet.timeline().after(wait, this::send);
	}

	private void run(RouterModel router, ServerState server) {
		EngineModel engine = this.fleet.engine(server.entry().id());
		int unread = server.started(this.prompt);
		router.sent(server, this.prompt);
		double sentMs = this.fleet.timeline().ms();
		Timeline timeline = this.fleet.timeline();
		Send send = new Send(router, server, engine, unread, sentMs);
		EngineRun run = new EngineRun(this.prompt, this.kind.outputTokens(), send);
		timeline.after(this.fleet.hopMs(), () -> {
			if (!this.over) {
				engine.accept(run);
			}
		});
		timeline.after(leftMs(), () -> {
			if (!this.over) {
				engine.cancel(run);
				send.release();
				end(Outcomes.Outcome.TIMED_OUT);
			}
		});
	}

	private void end(Outcomes.Outcome outcome) {
		this.over = true;
		this.fleet.outcomes().add(this.kind, this.organisation, this.startedMs, this.firstMs, outcome, this.returned);
	}

	private final class Send implements EngineRun.Listener {

		private final RouterModel router;

		private final ServerState server;

		private final EngineModel engine;

		private final double sentMs;

		private int unread;

		Send(RouterModel router, ServerState server, EngineModel engine, int unread, double sentMs) {
			this.router = router;
			this.server = server;
			this.engine = engine;
			this.unread = unread;
			this.sentMs = sentMs;
		}

		@Override
		public void firstToken() {
			CallerModel.this.fleet.timeline().after(CallerModel.this.fleet.hopMs(), () -> {
				if (!CallerModel.this.over) {
					CallerModel.this.firstMs = now() - CallerModel.this.startedMs;
					this.server.promptRead(this.unread);
					this.unread = 0;
				}
			});
		}

		@Override
		public void ended() {
			CallerModel.this.fleet.timeline().after(CallerModel.this.fleet.hopMs(), () -> {
				if (CallerModel.this.over) {
					return;
				}
				release();
				this.server.reported(this.engine.load(), CallerModel.this.fleet.timeline().nanoTime());
				this.router.answered(Math.round(now() - this.sentMs));
				boolean inTime = CallerModel.this.firstMs <= CallerModel.this.kind.goalMs();
				end(inTime ? Outcomes.Outcome.IN_TIME : Outcomes.Outcome.LATE);
			});
		}

		void release() {
			this.server.promptRead(this.unread);
			this.unread = 0;
			this.server.ended();
		}

		private double now() {
			return CallerModel.this.fleet.timeline().ms();
		}

	}

}

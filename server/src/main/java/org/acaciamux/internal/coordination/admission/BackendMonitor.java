package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.function.Consumer;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;

/**
 * Probes the backend server, opens or closes admission according to
 * {@link BackendHealth}, and reports crashes to the suspects. Thread-safe.
 */
final class BackendMonitor {

	private static final long DOWN_RETRY_MS = 1_000;

	private final AgentCore core;

	private final Backend backend;

	private final SuspectGate suspectGate;

	BackendMonitor(AgentCore core, Backend backend, SuspectGate suspectGate) {
		this.core = core;
		this.backend = backend;
		this.suspectGate = suspectGate;
	}

	/**
	 * Handle a refused connection, because of which a request was not sent. The caller
	 * must not hold the lock.
	 * @param request the request
	 */
	void refused(AgentRequest request) {
		this.core.update((effects) -> {
			this.core.health().refused(request, this.core.nowMs());
			applyGate(effects);
			effects.add(this::probeIfDue);
		});
	}

	/**
	 * Handle a response that broke off. The caller must not hold the lock.
	 * @param request the request, which must still count as running
	 */
	void brokeOff(AgentRequest request) {
		this.core.update((effects) -> {
			List<AgentRequest> inFlight = this.core.table().running();
			report(this.core.health().brokeOff(request, inFlight, this.core.nowMs()), effects);
			applyGate(effects);
			effects.add(this::probeIfDue);
		});
	}

	/**
	 * Find out whether the server lives after a response that ended with its connection:
	 * one that crashes may close its connections in order. The caller must not hold the
	 * lock.
	 * @param action receives whether the same process answers a probe
	 */
	void checkLife(Consumer<Boolean> action) {
		this.core.update((effects) -> {
			String before = this.core.health().incarnation();
			effects.add(() -> this.backend.probe().thenAccept((health) -> action.accept(lives(before, health))));
		});
	}

	private static boolean lives(String before, Backend.Health health) {
		return health.state() == Backend.Health.State.UP && (before.isEmpty() || before.equals(health.incarnation()));
	}

	/**
	 * Send a probe if one is due. The caller must not hold the lock.
	 */
	void probeIfDue() {
		this.core.update((effects) -> {
			if (this.core.health().isProbeDue(this.core.nowMs())) {
				int probe = this.core.health().startProbe(this.core.nowMs());
				effects.add(() -> this.backend.probe().thenAccept((health) -> probed(probe, health)));
			}
		});
	}

	private void probed(int probe, Backend.Health health) {
		AgentCore.PoolSnapshot pool = this.core.pool();
		this.core.update((effects) -> {
			report(this.core.health().probed(probe, health), effects);
			applyGate(effects);
			this.core.admitQueued(pool, effects);
		});
	}

	private void report(List<AgentRequest> crashed, List<Runnable> effects) {
		if (!crashed.isEmpty()) {
			this.core.metrics().count(AgentMetrics.Name.CRASHES);
			effects.add(() -> this.suspectGate.crashed(crashed));
		}
	}

	private void applyGate(List<Runnable> effects) {
		AdmissionControl.Gate gate = this.core.health().state().gate();
		this.core.admission().gate(gate);
		if (gate == AdmissionControl.Gate.CLOSED) {
			Failure failure = Failure.notRun(FailureCode.BACKEND_DOWN,
					"The backend server went down while the request was queued", DOWN_RETRY_MS);
			for (AgentRequest queued : this.core.admission().clearQueue()) {
				this.core.refuse(queued, Refusal.redirect(failure).withProvableOutcome(queued));
			}
		}
	}

}

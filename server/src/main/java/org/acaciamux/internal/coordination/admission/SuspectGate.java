package org.acaciamux.internal.coordination.admission;

import java.util.List;
import java.util.Optional;

import org.acaciamux.Failure;
import org.acaciamux.FailureCode;
import org.acaciamux.internal.coordination.quarantine.Fingerprint;
import org.acaciamux.internal.coordination.quarantine.SuspectTable;
import org.acaciamux.internal.protocol.wire.Submit;

/**
 * Checks the requests of an agent against the crash suspects. Fingerprints are computed
 * only while there are suspects and when the backend server crashed. Thread-safe; never
 * called under the lock of {@link AgentCore}.
 */
final class SuspectGate {

	private final AgentCore core;

	private final SuspectTable table;

	SuspectGate(AgentCore core, SuspectTable table) {
		this.core = core;
		this.table = table;
	}

	private static long fingerprint(AgentRequest request) {
		Submit submit = request.submit();
		return Fingerprint.of(submit.getPool(), submit.getPath(), submit.getBody());
	}

	/**
	 * Decide whether a request that has arrived or is about to be sent may run. A suspect
	 * that may run takes the isolation slot. It keeps the slot while it is queued, so
	 * that other suspects are refused at once and cannot starve it while the server is
	 * busy.
	 * @param request the request
	 * @param pool the current settings and load of the pool
	 * @return why it must not run, or empty if it may
	 */
	Optional<Refusal> enter(AgentRequest request, AgentCore.PoolSnapshot pool) {
		if (this.table.isEmpty()) {
			return Optional.empty();
		}
		int otherHealthy = pool.load().otherHealthy();
		if (request.isolated()) {
			return refusal(this.table.confirm(fingerprint(request), request.keyed(), otherHealthy, this.core.nowMs()));
		}
		SuspectTable.Verdict verdict = this.table.enter(fingerprint(request), request.keyed(), otherHealthy,
				this.core.nowMs());
		request.isolated(verdict.kind() == SuspectTable.Kind.ISOLATED);
		return refusal(verdict);
	}

	private static Optional<Refusal> refusal(SuspectTable.Verdict verdict) {
		return switch (verdict.kind()) {
			case FREE, ISOLATED -> Optional.empty();
			case BUSY -> Optional.of(Refusal.refuse(suspect("Another suspect is running alone here", verdict)));
			case LAST_HEALTHY ->
				Optional.of(Refusal.refuse(suspect("It does not run on the last healthy server", verdict)));
			case ELSEWHERE -> Optional.of(Refusal.redirectTo(verdict.designated(),
					suspect("Another server is designated to run it", verdict)));
			case QUARANTINED -> Optional.of(Refusal.refuse(Failure.notRun(FailureCode.REQUEST_QUARANTINED,
					"The request was in flight in repeated crashes of backend servers; change it before sending it again",
					verdict.retryAfterMs())));
		};
	}

	private static Failure suspect(String reason, SuspectTable.Verdict verdict) {
		return Failure.notRun(FailureCode.REQUEST_SUSPECT, "The request was in flight when a backend server crashed. "
				+ reason + "; send it again after the time in Retry-After", verdict.retryAfterMs());
	}

	/**
	 * Release the isolation slot, if the request holds it.
	 * @param request the request
	 */
	void leave(AgentRequest request) {
		if (request.isolated()) {
			request.isolated(false);
			this.table.leave(fingerprint(request));
		}
	}

	void completed(AgentRequest request) {
		if (!this.table.isEmpty()) {
			this.table.completed(fingerprint(request), this.core.nowMs());
		}
	}

	void crashed(List<AgentRequest> inFlight) {
		this.table.crashed(inFlight.stream().map(SuspectGate::fingerprint).toList(), this.core.nowMs());
	}

}

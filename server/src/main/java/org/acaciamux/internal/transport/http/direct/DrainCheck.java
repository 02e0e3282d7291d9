package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.AttemptPolicy.Decision;

/**
 * Decides how one request ends instead of being sent by a router that stops before the
 * response is expected to end. Has no effect while the router does not drain. Confined to
 * the event loop.
 */
final class DrainCheck {

	private final DirectContext context;

	private final AdmittedRequest admitted;

	private final AttemptPolicy policy;

	private final ResponseRelay relay;

	DrainCheck(DirectContext context, AdmittedRequest admitted, AttemptPolicy policy, ResponseRelay relay) {
		this.context = context;
		this.admitted = admitted;
		this.policy = policy;
		this.relay = relay;
	}

	/**
	 * Decide whether the request is sent now.
	 * @return how it ends, empty to send it
	 */
	Optional<Decision> ending() {
		Decision decision = this.policy.giveUp(this.relay.started());
		return (decision != Decision.REFUSE || mayBegin()) ? Optional.empty() : Optional.of(decision);
	}

	private boolean mayBegin() {
		long now = this.context.now();
		return this.context.drainTimes()
			.map((times) -> this.context.drainAdmission()
				.mayBegin(this.admitted.route(), this.admitted.remainingMs(now), times, now))
			.orElse(true);
	}

}

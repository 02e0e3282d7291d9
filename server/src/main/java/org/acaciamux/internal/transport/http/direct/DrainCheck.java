package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;
import java.util.Set;

import org.acaciamux.internal.coordination.direct.AttemptPolicy;
import org.acaciamux.internal.coordination.direct.AttemptPolicy.Decision;
import org.acaciamux.internal.coordination.direct.DrainTimes;
import org.acaciamux.internal.coordination.direct.ServiceRoute;

/**
 * Decides how one request ends instead of being sent by a router that stops before the
 * response is expected to end. Has no effect while the router does not drain. Confined to
 * the event loop.
 */
final class DrainCheck {

	private static final String REASON = "the router stops before the response is expected to end";

	private final DirectContext context;

	private final AdmittedRequest admitted;

	private final AttemptPolicy policy;

	private final ResponseRelay relay;

	private final ExchangeEnd end;

	DrainCheck(DirectContext context, AdmittedRequest admitted, AttemptPolicy policy, ResponseRelay relay,
			ExchangeEnd end) {
		this.context = context;
		this.admitted = admitted;
		this.policy = policy;
		this.relay = relay;
		this.end = end;
	}

	/**
	 * Decide whether the request is sent now.
	 * @return how it ends, empty to send it
	 */
	Optional<Decision> ending() {
		Decision decision = this.policy.giveUp(this.relay.started());
		boolean sent = switch (decision) {
			case REFUSE -> expected(this.context.drainAdmission()::mayBegin);
			case FAIL -> mayRepeat();
			default -> true;
		};
		return sent ? Optional.empty() : Optional.of(decision);
	}

	/**
	 * End the request if it is not sent now.
	 * @param servers ids of the servers to which it was sent
	 * @return whether it has ended
	 */
	boolean end(Set<String> servers) {
		Optional<Decision> ending = ending();
		ending.ifPresent((decision) -> {
			if (decision == Decision.REFUSE) {
				this.end.refuseInDrain(REASON, servers, this.context.drainTimes().orElseThrow());
			}
			else {
				this.end.fail(REASON, servers, this.admitted.deadlineAt());
			}
		});
		return ending.isPresent();
	}

	/**
	 * Return whether another server may run the request, which may have run before. A
	 * response that has begun goes on as long as the router runs, and one that is not
	 * passed on in parts is followed by a final response in any case.
	 * @return whether it may
	 */
	boolean mayRepeat() {
		return this.relay.started() || !this.context.drainAdmission().passesOnParts(this.admitted.route())
				|| expected(this.context.drainAdmission()::mayRepeat);
	}

	private boolean expected(Question question) {
		long now = this.context.now();
		return this.context.drainTimes()
			.map((times) -> question.ask(this.admitted.route(), this.admitted.remainingMs(now), times, now))
			.orElse(true);
	}

	private interface Question {

		boolean ask(ServiceRoute route, long limitMs, DrainTimes times, long now);

	}

}

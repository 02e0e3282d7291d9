package org.acaciamux.internal.transport.http.direct;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.vavr.control.Either;

import org.acaciamux.internal.coordination.direct.ServerState;
import org.acaciamux.internal.coordination.overload.WaitRule;

/**
 * Chooses the server of a send, if one takes the request in time. Holds no state.
 */
final class ServerChoice {

	private static final double NANOS_PER_MS = 1_000_000;

	private ServerChoice() {
	}

	/**
	 * Choose a server.
	 * @param context the shared components
	 * @param admitted the request
	 * @param tried ids of the servers that have already been tried
	 * @param arrivedAt when the request arrived, monotonic in nanoseconds
	 * @return why there is none, or the server
	 */
	static Either<None, ServerState> choose(DirectContext context, AdmittedRequest admitted, Set<String> tried,
			long arrivedAt) {
		Optional<ServerState> chosen = context.placement().choose(admitted.service(), admitted.request(), tried);
		if (chosen.isEmpty()) {
			OptionalLong shareFreeMs = context.warmup().freeInMs(admitted.service(), tried);
			double waitLeftMs = WaitRule.SHARE_OF_GOAL.maxWaitMs(admitted.route().goalMs(), 0, 0,
					admitted.waitClass().rank(), admitted.waitClass().excess())
					- (context.now() - arrivedAt) / NANOS_PER_MS;
			boolean waits = shareFreeMs.isPresent() && shareFreeMs.getAsLong() <= waitLeftMs;
			return Either.left(new None("no backend server of " + admitted.service() + " is available",
					shareFreeMs.orElse(0), waits));
		}
		OptionalLong slotFreeMs = context.admission().refusal(chosen.get(), admitted.route(), admitted.waitClass());
		if (slotFreeMs.isEmpty()) {
			return Either.right(chosen.get());
		}
		return Either.left(new None(
				"no slot is free in time, wait " + slotFreeMs.getAsLong() + " ms for " + admitted.waitClass() + " at "
						+ chosen.get().describe(admitted.request().prompt(), context.now()),
				slotFreeMs.getAsLong(), false));
	}

	/**
	 * Why there is no server.
	 *
	 * @param reason the reason for the log
	 * @param slotFreeMs estimated milliseconds until a slot is free, 0 if it is not known
	 * @param waits whether the request waits until a cold server takes it
	 */
	record None(String reason, long slotFreeMs, boolean waits) {
	}

}

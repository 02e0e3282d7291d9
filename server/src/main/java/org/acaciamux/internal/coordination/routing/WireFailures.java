package org.acaciamux.internal.coordination.routing;

import org.acaciamux.FailureCode;
import org.acaciamux.Outcome;
import org.acaciamux.internal.protocol.wire.WireOutcome;

/**
 * Reads the codes and outcomes that agents report. Thread-safe; holds no state.
 */
final class WireFailures {

	private WireFailures() {
	}

	static FailureCode code(String text) {
		return FailureCode.of(text).orElse(FailureCode.PROTOCOL_ERROR);
	}

	static Outcome outcome(WireOutcome outcome) {
		return switch (outcome) {
			case OUTCOME_ANSWERED -> Outcome.ANSWERED;
			case OUTCOME_NOT_RUN -> Outcome.NOT_RUN;
			default -> Outcome.UNKNOWN;
		};
	}

}

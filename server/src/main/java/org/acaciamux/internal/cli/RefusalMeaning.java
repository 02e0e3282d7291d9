package org.acaciamux.internal.cli;

import org.acaciamux.FailureCode;

/**
 * Explains failure codes of refused requests: what happened, and what an operator can do.
 * Holds no state; thread-safe.
 */
final class RefusalMeaning {

	private RefusalMeaning() {
	}

	static String of(String code) {
		return FailureCode.of(code).map(RefusalMeaning::of).orElse("not known to this version of acaciamux");
	}

	private static String of(FailureCode code) {
		return switch (code) {
			case LOAD_BOUND -> "the load bound is reached; add backend servers or raise loadBound";
			case QUEUE_FULL -> "a queue or an organisation's share of it is full; see the backlog";
			case DEADLINE_EXCEEDED -> "the caller's deadline passed before the call ran; see the backlog";
			case DRAINING -> "the backend server leaves; callers are sent to others";
			case BACKEND_DOWN -> "the backend server beside the agent accepts no connection; check it";
			case BACKEND_FAILED -> "the backend server broke off responses; check its log";
			case AGENT_UNREACHABLE, AGENT_LOST -> "agents cannot be reached; check VMs and network";
			case NO_BACKEND -> "no member of the pool takes work; check its agents";
			case REQUEST_QUARANTINED -> "a request crashed backend servers repeatedly; see acaciamux dump";
			case REQUEST_SUSPECT ->
				"a request was in flight when a backend server crashed, and waits for an isolated run";
			case CLAIMS_UNAVAILABLE, NOT_OWNER -> "keyed calls cannot be claimed now; check the platform";
			case PLATFORM_UNAVAILABLE -> "the platform is down or slow";
			case NOT_READY -> "a process is not ready; see its /ready page";
			case UNKNOWN_POOL -> "callers name a pool without a record";
			case KEY_REQUIRED, KEY_INVALID, KEY_EXPIRED, KEY_REUSED, KEY_REFUSED ->
				"callers use idempotency keys wrongly, or retry too late";
			case OUTCOME_UNKNOWN -> "calls whose outcome is not known; callers may repeat them with the same key";
			case VERSION_MISMATCH, PROTOCOL_ERROR -> "processes do not understand each other; check versions";
			case BAD_REQUEST, BODY_TOO_LARGE, HEADERS_TOO_LARGE, REQUEST_TIMEOUT, CANCELLED ->
				"the fault is on the caller's side";
			default -> "see the log of the process that refused";
		};
	}

}

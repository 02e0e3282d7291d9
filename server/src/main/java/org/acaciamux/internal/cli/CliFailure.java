package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;

import org.acaciamux.internal.coordination.platform.StoreFailure;

/**
 * Exit code and messages of a command that failed. Immutable and thread-safe.
 *
 * @param code the exit code
 * @param lines messages to the operator: what happened, why, and what to do next
 */
record CliFailure(CliExitCode code, List<String> lines) {

	CliFailure {
		lines = List.copyOf(lines);
	}

	static CliFailure of(CliExitCode code, String... lines) {
		return new CliFailure(code, List.of(lines));
	}

	/**
	 * Describe a failed call to the object API.
	 * @param failure the failure
	 * @param subject the object or command that the call was for, for instance
	 * {@code BackendPool/menu-reads}
	 * @return the failure with its exit code and messages
	 */
	static CliFailure of(StoreFailure failure, String subject) {
		return switch (failure.kind()) {
			case NOT_FOUND -> of(CliExitCode.NOT_FOUND, subject + ": not found",
					"next: list what is stored, for example: acaciamux get BackendPool");
			case CONFLICT -> of(CliExitCode.CONFLICT, subject + ": " + failure.detail());
			case INVALID -> of(CliExitCode.INVALID, subject + ": the platform refused the value: " + failure.detail(),
					"next: a value may have at most one megabyte; check it with: acaciamux validate -f FILE");
			case NO_ANSWER ->
				of(CliExitCode.UNAVAILABLE, subject + ": no answer from the platform: " + failure.detail(),
						"next: repeat the command when the platform answers; repeating it is safe");
			default -> of(CliExitCode.UNAVAILABLE, subject + ": the platform is unavailable: " + failure.detail(),
					"next: check --platform HOST:PORT or ACACIAMUX_PLATFORM, and repeat the command later;"
							+ " records in force stay in force meanwhile");
		};
	}

	CliFailure plus(List<String> more) {
		List<String> all = new ArrayList<>(this.lines);
		all.addAll(more);
		return new CliFailure(this.code, all);
	}

}

package org.acaciamux.internal.cli;

import java.util.Optional;
import java.util.regex.Pattern;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;

/**
 * The options of commands that call the platform. The parser sets the fields.
 */
final class PlatformOptions {

	static final String ADDRESS_VARIABLE = "ACACIAMUX_PLATFORM";

	private static final Pattern HOST_AND_PORT = Pattern
		.compile("([A-Za-z0-9._-]+|\\[[0-9a-fA-F:.]+])(?<!:):[0-9]{1,5}");

	private static final int MAX_PORT = 65_535;

	@Parameter(names = "--platform",
			description = "HOST:PORT of the object API (default: environment variable " + ADDRESS_VARIABLE + ")")
	private String platform;

	/**
	 * Create a client of the object API. Does not connect yet.
	 * @param console the console, whose environment may hold the address
	 * @return the client, or a failure if the address is missing or malformed
	 */
	Either<CliFailure, ObjectApi> open(Console console) {
		String address = Optional.ofNullable(this.platform)
			.or(() -> Optional.ofNullable(console.environment().get(ADDRESS_VARIABLE)))
			.orElse("");
		if (address.isEmpty()) {
			return Either.left(CliFailure.of(CliExitCode.USAGE, "the platform's address is missing",
					"next: add --platform 10.0.0.5:7000 or set " + ADDRESS_VARIABLE + "=10.0.0.5:7000"));
		}
		return endpoint("--platform", address).map(ObjectApi::new);
	}

	static Either<CliFailure, String> endpoint(String option, String address) {
		if (!HOST_AND_PORT.matcher(address).matches() || port(address) < 1 || port(address) > MAX_PORT) {
			return Either.left(CliFailure.of(CliExitCode.USAGE, option + " is '" + address
					+ "', but must be HOST:PORT with a port of 1 to 65535; for example: " + option + " 10.0.0.5:7000"));
		}
		return Either.right(address);
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

}

package org.acaciamux.internal.cli;

import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * Prints the state of one process, read from its admin port.
 */
final class DumpCommand implements Command {

	@Parameter(names = "--admin", required = true, description = "HOST:PORT of the process's admin port")
	private String admin;

	@Parameter(names = "--output", converter = OutputFormat.Converter.class,
			description = "yaml or json; table prints json")
	private OutputFormat output = OutputFormat.JSON;

	@Override
	public String name() {
		return "dump";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "print the state of one process without bodies and secrets";
	}

	@Override
	public String example() {
		return "acaciamux dump --admin 127.0.0.1:9090";
	}

	@Override
	public CliExitCode run(Console console) {
		OutputFormat format = (this.output == OutputFormat.YAML) ? OutputFormat.YAML : OutputFormat.JSON;
		return PlatformOptions.endpoint("--admin", this.admin)
			.flatMap((address) -> new ObjectApi(address).getPage("/dump")
				.mapLeft((failure) -> CliFailure.of(CliExitCode.UNAVAILABLE,
						"no dump from " + address + ": " + failure.detail(),
						"next: check the admin section of the process's settings; the port is bound to 127.0.0.1 unless"
								+ " set, so run this on the same VM")))
			.fold(console::fail, (page) -> {
				List<String> lines = format.lines(page);
				console.print(lines);
				return CliExitCode.OK;
			});
	}

}

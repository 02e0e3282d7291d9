package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;

/**
 * Lists waiting requests by pool, organisation and priority, oldest first.
 */
final class BacklogCommand implements Command {

	@ParametersDelegate
	private final PlatformOptions platform = new PlatformOptions();

	@Parameter(names = "--output", converter = OutputFormat.Converter.class, description = "table, yaml or json")
	private OutputFormat output = OutputFormat.TABLE;

	@Parameter(names = "--watch", description = "print again after each change until interrupted")
	private boolean watch;

	@Override
	public String name() {
		return "backlog";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "list waiting requests by pool, organisation and priority, oldest first";
	}

	@Override
	public String example() {
		return "acaciamux backlog --watch --platform 10.0.0.5:7000";
	}

	@Override
	public CliExitCode run(Console console) {
		return this.platform.open(console)
			.fold(console::fail,
					(api) -> this.watch ? new WatchLoop(console, api, FleetView.KIND).run(() -> page(console, api))
							: page(console, api).fold(console::fail, (lines) -> {
								console.print(lines);
								return CliExitCode.OK;
							}));
	}

	private Either<CliFailure, List<String>> page(Console console, ObjectApi api) {
		return FleetSample.read(api, console).mapLeft((failure) -> CliFailure.of(failure, "backlog")).map((sample) -> {
			long now = console.clock().time();
			StatusPage page = new StatusPage(sample, FleetHealth.assess(sample, List.of(), now), now);
			return (this.output == OutputFormat.TABLE) ? table(console, page) : this.output.lines(page.backlogJson());
		});
	}

	private static List<String> table(Console console, StatusPage page) {
		List<String> lines = new ArrayList<>(page.backlogTable().lines(console));
		for (FleetView.Domain domain : page.sample().last().domains()) {
			if (FleetHealth.isStale(domain, page.nowMs())) {
				lines.add("note: status of failure domain " + domain.name() + " is stale, written: "
						+ page.statusAge(domain));
			}
		}
		return lines;
	}

}

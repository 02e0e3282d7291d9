package org.acaciamux.internal.cli;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;
import org.acaciamux.internal.state.record.RecordKinds;

/**
 * Prints whether the fleet is healthy, with the reasons if it is not, and its state.
 */
final class StatusCommand implements Command {

	@ParametersDelegate
	private final PlatformOptions platform = new PlatformOptions();

	@Parameter(names = "--output", converter = OutputFormat.Converter.class, description = "table, yaml or json")
	private OutputFormat output = OutputFormat.TABLE;

	@Parameter(names = "--watch", description = "print again after each change until interrupted")
	private boolean watch;

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "say whether the fleet is healthy and why not";
	}

	@Override
	public String example() {
		return "acaciamux status --platform 10.0.0.5:7000";
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
		Either<StoreFailure, List<String>> declared = api.list(RecordKinds.BACKEND_POOL)
			.map((listing) -> listing.items().stream().map(StoredObject::name).toList());
		return declared.flatMap((pools) -> FleetSample.read(api, console).map((sample) -> {
			long now = console.clock().time();
			StatusPage page = new StatusPage(sample, FleetHealth.assess(sample, pools, now), now);
			return (this.output == OutputFormat.TABLE) ? page.tables(console) : this.output.lines(page.json());
		})).mapLeft((failure) -> CliFailure.of(failure, "status"));
	}

}

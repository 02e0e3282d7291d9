package org.acaciamux.internal.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;

import org.acaciamux.internal.experiment.Experiment;
import org.acaciamux.internal.experiment.ExperimentReport;
import org.acaciamux.settings.ExperimentFile;
import org.acaciamux.settings.SettingsProblem;

/**
 * Simulates the fleet under the load that a file describes and writes a report with
 * plots.
 */
final class ExperimentCommand implements Command {

	@Parameter(names = { "-f", "--file" }, required = true, description = "YAML file with load, policies and seed")
	private String file;

	@Parameter(names = { "-o", "--out" }, description = "directory of the report, default experiment")
	private String out = "experiment";

	@Override
	public String name() {
		return "experiment";
	}

	@Override
	public String arguments() {
		return "";
	}

	@Override
	public String summary() {
		return "run a load against the model of routers and engines";
	}

	@Override
	public String example() {
		return "acaciamux experiment -f examples/experiments/evening.yaml -o evening";
	}

	@Override
	public CliExitCode run(Console console) {
		Either<List<SettingsProblem>, Experiment> experiment = ExperimentFile.read(Path.of(this.file));
		if (experiment.isLeft()) {
			List<String> lines = new ArrayList<>();
			experiment.getLeft().forEach((problem) -> lines.add(this.file + ": " + problem));
			return console.fail(new CliFailure(CliExitCode.USAGE, lines));
		}
		Path directory = Path.of(this.out);
		try {
			console.print(ExperimentReport.write(experiment.get(), directory));
			console.print(List.of("", "written to " + directory.resolve(ExperimentReport.FILE)));
			return CliExitCode.OK;
		}
		catch (IOException ex) {
			return console.fail(CliFailure.of(CliExitCode.USAGE, "the report cannot be written: " + ex,
					"next: choose another directory with --out"));
		}
	}

}

package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoreFailure.Kind;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Deletes one record, unless it changes between reading and deleting it. Refuses kinds
 * that processes write themselves, because deleting a claim would allow a call to run
 * twice.
 */
final class DeleteCommand implements Command {

	private final RecordRules rules;

	@ParametersDelegate
	private final PlatformOptions platform = new PlatformOptions();

	@Parameter(description = "KIND NAME")
	private List<String> arguments = new ArrayList<>();

	DeleteCommand(RecordRules rules) {
		this.rules = rules;
	}

	@Override
	public String name() {
		return "delete";
	}

	@Override
	public String arguments() {
		return "KIND NAME";
	}

	@Override
	public String summary() {
		return "delete a record at the version read";
	}

	@Override
	public String example() {
		return "acaciamux delete Organisation night-market --platform 10.0.0.5:7000";
	}

	@Override
	public CliExitCode run(Console console) {
		if (this.arguments.size() != 2) {
			return console
				.fail(CliFailure.of(CliExitCode.USAGE, "delete needs KIND and NAME; for example: " + example()));
		}
		String kind = this.arguments.get(0);
		String name = this.arguments.get(1);
		if (!this.rules.kinds().contains(kind)) {
			return console
				.fail(CliFailure.of(CliExitCode.USAGE, "'" + kind + "' is not a kind that operators delete; use "
						+ String.join(", ", this.rules.kinds()) + "; for example: " + example()));
		}
		return this.platform.open(console).flatMap((api) -> delete(api, kind, name)).fold(console::fail, (line) -> {
			console.print(List.of(line));
			return CliExitCode.OK;
		});
	}

	private static Either<CliFailure, String> delete(ObjectApi api, String kind, String name) {
		String subject = kind + "/" + name;
		Either<StoreFailure, StoredObject> read = api.get(kind, name);
		if (read.isLeft()) {
			return Either.left(CliFailure.of(read.getLeft(), subject));
		}
		return new ConditionalWriter(api).delete(read.get())
			.mapLeft((failure) -> describe(read.get(), failure))
			.map((object) -> subject + ": deleted at version " + read.get().version());
	}

	private static CliFailure describe(StoredObject read, StoreFailure failure) {
		String subject = read.kind() + "/" + read.name();
		if (failure.kind() != Kind.CONFLICT || failure.current().isEmpty()) {
			return CliFailure.of(failure, subject);
		}
		return conflict(subject, read, failure.current());
	}

	private static CliFailure conflict(String subject, StoredObject read, Optional<StoredObject> current) {
		List<String> lines = new ArrayList<>();
		lines.add(subject + ": conflict: the deletion expected version " + read.version()
				+ ", but the stored record is version " + current.orElseThrow().version() + "; nothing was deleted");
		lines.add("changed since it was read:");
		FieldChange.between(read.value(), current.get().value()).forEach((change) -> lines.add("  " + change.line()));
		lines.add("next: to delete it nevertheless, repeat: acaciamux delete " + read.kind() + " " + read.name());
		return new CliFailure(CliExitCode.CONFLICT, lines);
	}

}

package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.acaciamux.internal.coordination.platform.StoreFailure;
import org.acaciamux.internal.coordination.platform.StoredObject;

/**
 * Prints one object or all objects of a kind.
 */
final class GetCommand implements Command {

	@ParametersDelegate
	private final PlatformOptions platform = new PlatformOptions();

	@Parameter(names = "--output", converter = OutputFormat.Converter.class, description = "table, yaml or json")
	private OutputFormat output = OutputFormat.TABLE;

	@Parameter(names = "--watch", description = "print again after each change until interrupted")
	private boolean watch;

	@Parameter(description = "KIND [NAME]")
	private List<String> arguments = new ArrayList<>();

	@Override
	public String name() {
		return "get";
	}

	@Override
	public String arguments() {
		return "KIND [NAME]";
	}

	@Override
	public String summary() {
		return "print one object, or all of a kind";
	}

	@Override
	public String example() {
		return "acaciamux get BackendPool stock-plans --output yaml --platform 10.0.0.5:7000";
	}

	@Override
	public CliExitCode run(Console console) {
		if (this.arguments.isEmpty() || this.arguments.size() > 2) {
			return console
				.fail(CliFailure.of(CliExitCode.USAGE, "get needs KIND and perhaps NAME; for example: " + example()));
		}
		String kind = this.arguments.get(0);
		return this.platform.open(console)
			.fold(console::fail, (api) -> this.watch ? new WatchLoop(console, api, kind).run(() -> page(console, api))
					: page(console, api).fold(console::fail, (lines) -> {
						console.print(lines);
						return CliExitCode.OK;
					}));
	}

	private Either<CliFailure, List<String>> page(Console console, ObjectApi api) {
		String kind = this.arguments.get(0);
		if (this.arguments.size() == 1) {
			return api.list(kind)
				.mapLeft((failure) -> CliFailure.of(failure, kind))
				.map((listing) -> formatAll(console, listing.items()));
		}
		String name = this.arguments.get(1);
		Either<StoreFailure, StoredObject> read = api.get(kind, name);
		return read.mapLeft((failure) -> CliFailure.of(failure, kind + "/" + name))
			.map((object) -> format(console, object));
	}

	private List<String> format(Console console, StoredObject object) {
		return switch (this.output) {
			case YAML -> yaml(object);
			case JSON -> OutputFormat.JSON.lines(json(object));
			case TABLE -> fields(console, object);
		};
	}

	private List<String> formatAll(Console console, List<StoredObject> objects) {
		return switch (this.output) {
			case YAML -> documents(objects);
			case JSON -> {
				List<JsonNode> items = objects.stream().<JsonNode>map(GetCommand::json).toList();
				yield OutputFormat.JSON.lines(Documents.JSON.createArrayNode().addAll(items));
			}
			case TABLE -> {
				Table table = new Table("NAME", "VERSION", "API VERSION");
				objects.forEach((object) -> table.row(object.name(), object.version(),
						object.value().path("apiVersion").asText("-")));
				yield table.lines(console);
			}
		};
	}

	private static List<String> documents(List<StoredObject> objects) {
		List<String> lines = new ArrayList<>();
		for (StoredObject object : objects) {
			if (!lines.isEmpty()) {
				lines.add("---");
			}
			lines.addAll(yaml(object));
		}
		return lines;
	}

	private static List<String> yaml(StoredObject object) {
		List<String> lines = new ArrayList<>();
		lines.add("# " + object.kind() + "/" + object.name() + " version " + object.version());
		lines.addAll(OutputFormat.YAML.lines(object.value()));
		return lines;
	}

	private static List<String> fields(Console console, StoredObject object) {
		Table table = new Table("FIELD", "VALUE");
		table.row("(version)", object.version());
		FieldChange.between(Documents.JSON.createObjectNode(), object.value())
			.forEach((field) -> flatten(table, field.path(), field.after().orElseThrow()));
		return table.lines(console);
	}

	private static void flatten(Table table, String path, JsonNode value) {
		if (value.isObject() && !value.isEmpty()) {
			value.properties().forEach((entry) -> flatten(table, path + "." + entry.getKey(), entry.getValue()));
			return;
		}
		table.row(path, value.isTextual() ? value.asText() : value);
	}

	private static ObjectNode json(StoredObject object) {
		ObjectNode node = Documents.JSON.createObjectNode();
		node.put("kind", object.kind()).put("name", object.name()).put("version", object.version());
		node.set("value", object.value());
		return node;
	}

}

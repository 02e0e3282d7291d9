package org.acaciamux.internal.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Values of {@code --output}. Immutable and thread-safe.
 */
enum OutputFormat {

	/** Bordered columns; separated by tabs when the output is not a terminal. */
	TABLE,
	/** YAML. */
	YAML,
	/** JSON. */
	JSON;

	List<String> lines(JsonNode node) {
		return (this == JSON) ? node.toPrettyString().lines().toList() : Documents.yaml(node).lines().toList();
	}

	/**
	 * Converts an argument of {@code --output}, which must be in lower case.
	 */
	static final class Converter implements IStringConverter<OutputFormat> {

		@Override
		public OutputFormat convert(String value) {
			return Arrays.stream(values())
				.filter((format) -> format.name().toLowerCase(Locale.ROOT).equals(value))
				.findFirst()
				.orElseThrow(() -> new ParameterException(
						"--output is '" + value + "', but must be table, yaml or json; for example: --output yaml"));
		}

	}

}

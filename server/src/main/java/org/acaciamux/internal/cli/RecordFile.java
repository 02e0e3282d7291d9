package org.acaciamux.internal.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import io.vavr.control.Either;

/**
 * Reads records: a file of YAML documents, or all such files of a directory in the order
 * of their names. Holds no state; thread-safe.
 */
final class RecordFile {

	private static final String STANDARD_INPUT = "-";

	private RecordFile() {
	}

	/**
	 * Read records.
	 * @param file the file or directory, {@code -} for standard input
	 * @param in standard input
	 * @return the documents, at least one, or a failure if the file has none, cannot be
	 * read or has a record twice
	 */
	static Either<CliFailure, List<JsonNode>> read(String file, InputStream in) {
		try {
			if (STANDARD_INPUT.equals(file)) {
				return parse(file, new String(in.readAllBytes(), StandardCharsets.UTF_8))
					.flatMap((documents) -> checkDistinct(file, documents));
			}
			List<JsonNode> documents = new ArrayList<>();
			for (Path path : files(Path.of(file))) {
				Either<CliFailure, List<JsonNode>> parsed = parse(path.toString(), Files.readString(path));
				if (parsed.isLeft()) {
					return parsed;
				}
				documents.addAll(parsed.get());
			}
			return checkDistinct(file, documents);
		}
		catch (NoSuchFileException ex) {
			return Either.left(CliFailure.of(CliExitCode.USAGE, file + ": no such file"));
		}
		catch (IOException | InvalidPathException ex) {
			return Either.left(CliFailure.of(CliExitCode.USAGE, file + ": cannot be read: " + ex));
		}
	}

	private static List<Path> files(Path path) throws IOException {
		if (!Files.isDirectory(path)) {
			return List.of(path);
		}
		try (Stream<Path> entries = Files.list(path)) {
			return entries.filter((entry) -> entry.toString().matches(".*\\.(yaml|yml|json)")).sorted().toList();
		}
	}

	private static Either<CliFailure, List<JsonNode>> parse(String file, String text) throws IOException {
		List<JsonNode> documents = new ArrayList<>();
		try (MappingIterator<JsonNode> values = Documents.YAML.readerFor(JsonNode.class).readValues(text)) {
			while (values.hasNextValue()) {
				JsonNode document = values.nextValue();
				if (document != null && !document.isNull() && !document.isMissingNode()) {
					documents.add(document);
				}
			}
			return Either.right(documents);
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			return Either.left(CliFailure.of(CliExitCode.INVALID,
					file + ": line " + line + ": not valid YAML: " + ex.getOriginalMessage(),
					"next: correct the line, then check with: acaciamux validate -f " + file));
		}
	}

	private static Either<CliFailure, List<JsonNode>> checkDistinct(String file, List<JsonNode> documents) {
		if (documents.isEmpty()) {
			return Either.left(CliFailure.of(CliExitCode.INVALID, file + ": has no record",
					"next: print a complete example with: acaciamux explain BackendPool"));
		}
		Set<String> seen = new HashSet<>();
		for (JsonNode document : documents) {
			if (document.has("name") && !seen.add(subject(document))) {
				return Either.left(CliFailure.of(CliExitCode.INVALID,
						file + ": has " + subject(document) + " twice; keep one of the two"));
			}
		}
		return Either.right(documents);
	}

	static String subject(JsonNode document) {
		return document.path("kind").asText("(no kind)") + "/" + document.path("name").asText("(no name)");
	}

}

package org.acaciamux.internal.cli;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordKinds;
import org.acaciamux.internal.state.record.RecordProblem;
import org.acaciamux.internal.state.record.RecordSchema;

/**
 * Rules taken from {@link RecordSchema}. Holds no state; thread-safe.
 */
final class SchemaRules implements RecordRules {

	/**
	 * Path at which a conversion keeps fields that have no place in the other version.
	 */
	private static final String UNCONVERTED_PATH = "spec.unconverted";

	@Override
	public List<String> kinds() {
		return List.of(RecordKinds.BACKEND_POOL, RecordKinds.ORGANISATION, RecordKinds.PRIORITY);
	}

	@Override
	public List<RecordFault> check(JsonNode document) {
		Set<RecordProblem> otherProblems = problemsExceptUnknownFields(document);
		return RecordSchema.check(document)
			.stream()
			.map((problem) -> new RecordFault(problem.path(), problem.message(), problem.example(),
					!otherProblems.contains(problem) && Documents.find(document, problem.path()).isPresent()
							&& !problem.path().equals("name")))
			.toList();
	}

	@Override
	public List<String> preservedPaths(JsonNode document) {
		List<String> paths = new ArrayList<>();
		check(document).stream().filter(RecordFault::unknownField).map(RecordFault::path).forEach(paths::add);
		if (Documents.find(document, UNCONVERTED_PATH).isPresent()) {
			paths.add(UNCONVERTED_PATH);
		}
		return paths;
	}

	@Override
	public Either<List<RecordFault>, JsonNode> convert(JsonNode document, String apiVersion) {
		return RecordSchema.convert(document, apiVersion).mapLeft(SchemaRules::faults);
	}

	/**
	 * Find the problems that remain if unknown fields are accepted.
	 * @param document the whole record
	 * @return the problems
	 */
	private static Set<RecordProblem> problemsExceptUnknownFields(JsonNode document) {
		RecordKey key = new RecordKey(document.path("kind").asText(""), document.path("name").asText(""));
		return RecordSchema.read(key, document)
			.fold((problems) -> new HashSet<>(problems), (spec) -> Set.<RecordProblem>of());
	}

	private static List<RecordFault> faults(List<RecordProblem> problems) {
		return problems.stream()
			.map((problem) -> new RecordFault(problem.path(), problem.message(), problem.example(), false))
			.toList();
	}

}

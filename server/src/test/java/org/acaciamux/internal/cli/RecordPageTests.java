package org.acaciamux.internal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.acaciamux.internal.state.record.RecordKey;
import org.acaciamux.internal.state.record.RecordSchema;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against reference pages that differ from the schema.
 */
public class RecordPageTests {

	private static final Path PAGES = Path.of("..", "docs", "records");

	private static final Pattern EXAMPLE = Pattern.compile("```yaml\n(.*?)```", Pattern.DOTALL);

	private static final Pattern RANGE = Pattern.compile("(above )?([0-9.]+) to ([0-9.]+)");

	@DataProvider
	public Object[][] kinds() {
		return new SchemaRules().kinds().stream().map((kind) -> new Object[] { kind }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "kinds")
	public void theExampleIsValid(String kind) throws IOException {
		assertEquals(RecordSchema.check(example(kind)), List.of());
	}

	@Test(dataProvider = "kinds")
	public void everyFieldOfTheSchemaIsOnThePageAndNoOther(String kind) throws IOException {
		ObjectNode document = (ObjectNode) example(kind);
		document.putObject("spec").put("no-such-field", 1);
		String known = RecordSchema.check(document).get(0).message();
		List<String> topFields = List.of(known.replaceAll("(?s).*fields here: (.*)\\.$", "$1").split(", "));
		List<String> onPage = rows(kind).stream().map((row) -> row.path().split("\\.")[0]).distinct().sorted().toList();
		assertEquals(onPage, topFields.stream().sorted().toList());
	}

	@Test(dataProvider = "kinds")
	public void rangesOnThePageAreThoseOfTheSchema(String kind) throws IOException {
		for (Row row : rows(kind)) {
			Matcher range = RANGE.matcher(row.range());
			if (!range.matches()) {
				continue;
			}
			boolean whole = !range.group(2).contains(".");
			double step = whole ? 1 : 0.001;
			double low = Double.parseDouble(range.group(2)) + ((range.group(1) != null) ? step : 0);
			double high = Double.parseDouble(range.group(3));
			assertTrue(accepts(kind, row, low, whole), row + " refuses " + low);
			assertTrue(accepts(kind, row, high, whole), row + " refuses " + high);
			assertFalse(accepts(kind, row, low - step, whole), row + " accepts " + (low - step));
			assertFalse(accepts(kind, row, high + step, whole), row + " accepts " + (high + step));
		}
	}

	/** A record with the defaults written out must mean the same as an empty one. */
	@Test(dataProvider = "kinds")
	public void defaultsOnThePageAreThoseOfTheSchema(String kind) throws IOException {
		ObjectNode document = (ObjectNode) example(kind);
		RecordKey key = new RecordKey(kind, document.get("name").asText());
		document.putObject("spec");
		Object defaults = RecordSchema.read(key, document).get();
		for (Row row : rows(kind)) {
			Matcher value = Pattern.compile("`([^`]+)`.*").matcher(row.defaultValue());
			if (value.matches()) {
				set(document, row.path(), Documents.YAML.readTree(value.group(1)));
			}
		}
		assertEquals(RecordSchema.read(key, document).get(), defaults);
	}

	@Test
	public void everyPoolFieldNamesItsFieldInVersionOne() throws IOException {
		ObjectNode document = (ObjectNode) example("BackendPool");
		document.put("apiVersion", "acaciamux/v1");
		ObjectNode spec = document.putObject("spec");
		rows("BackendPool").forEach((row) -> spec.put(row.cells().get(1).replace("`", ""), "x".repeat(300)));
		List<String> unknown = RecordSchema.check(document)
			.stream()
			.filter((problem) -> problem.message().startsWith("is not a field"))
			.map((problem) -> problem.path())
			.toList();
		assertEquals(unknown, List.of());
	}

	private static boolean accepts(String kind, Row row, double value, boolean whole) throws IOException {
		ObjectNode document = (ObjectNode) example(kind);
		JsonNode number = whole ? Documents.JSON.getNodeFactory().numberNode((long) value)
				: Documents.JSON.getNodeFactory().numberNode(value);
		set(document, row.path(), number);
		return RecordSchema.check(document).isEmpty();
	}

	private static void set(ObjectNode document, String path, JsonNode value) {
		int dot = path.indexOf('.');
		ObjectNode spec = document.withObjectProperty("spec");
		ObjectNode group = (dot < 0) ? spec : spec.withObjectProperty(path.substring(0, dot));
		group.set(path.substring(dot + 1), value);
	}

	private static JsonNode example(String kind) throws IOException {
		Matcher example = EXAMPLE.matcher(page(kind));
		assertTrue(example.find(), kind + " has no example");
		return Documents.YAML.readTree(example.group(1));
	}

	private static List<Row> rows(String kind) throws IOException {
		List<Row> rows = new ArrayList<>();
		for (String line : page(kind).lines().toList()) {
			if (line.startsWith("| `")) {
				rows.add(new Row(List.of(line.substring(1).split("\\|")).stream().map(String::strip).toList()));
			}
		}
		return rows;
	}

	private static String page(String kind) throws IOException {
		return Files.readString(PAGES.resolve(kind + ".md"));
	}

	/**
	 * One row of a page's table; the last three cells are range, default and meaning.
	 *
	 * @param cells the cells
	 */
	private record Row(List<String> cells) {

		String path() {
			return this.cells.get(0).replace("`", "");
		}

		String range() {
			return this.cells.get(this.cells.size() - 3);
		}

		String defaultValue() {
			return this.cells.get(this.cells.size() - 2);
		}

	}

}

package org.acaciamux.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a settings reference and example settings that differ from the code.
 */
public class SettingsPageTests {

	private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

	private static final Path EXAMPLES = Path.of("..", "examples", "settings");

	private static final Pattern ROW = Pattern.compile("\\| `([A-Za-z.]+)` \\|([^|]*)\\|([^|]*)\\|([^|]*)\\|[^|]+\\|");

	private static final Pattern RANGE = Pattern.compile("([0-9]+) to ([0-9]+)");

	private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

	@DataProvider
	public Object[][] roles() {
		return new Object[][] { { "router" }, { "agent" } };
	}

	@Test(dataProvider = "roles")
	public void theExampleIsValid(String role) {
		assertEquals(
				SettingsFile.read(EXAMPLES.resolve(role + ".yaml")).map((settings) -> settings.role().text()).get(),
				role);
	}

	@Test
	public void thePageListsExactlyTheKnownKeys() throws IOException {
		TreeSet<String> onPage = new TreeSet<>();
		rows().forEach((row) -> onPage.add(row.key()));
		assertEquals(onPage, knownKeys());
	}

	@Test
	public void rangesOnThePageAreThoseOfTheCode() throws IOException {
		for (Row row : rows()) {
			Matcher range = RANGE.matcher(row.range());
			if (range.matches()) {
				long low = Long.parseLong(range.group(1));
				long high = Long.parseLong(range.group(2));
				assertTrue(accepts(row, low) && accepts(row, high), row + " rejects a bound of its range");
				assertFalse(accepts(row, low - 1) || accepts(row, high + 1),
						row + " accepts a value outside its range");
			}
		}
	}

	/** Settings with explicit defaults must equal settings that omit them. */
	@Test
	public void defaultsOnThePageAreThoseOfTheCode() throws IOException {
		ObjectNode minimal = example("router");
		minimal.remove(List.of("limits", "workers"));
		List.of("listen", "peer", "admin").forEach(minimal::putObject);
		ObjectNode complete = minimal.deepCopy();
		for (Row row : rows()) {
			Matcher value = Pattern.compile("`(.+)`").matcher(row.defaultValue());
			if (value.matches()) {
				set(complete, row.key(), YAML.readTree(value.group(1)));
			}
		}
		assertEquals(parse(complete), parse(minimal));
	}

	private static boolean accepts(Row row, long value) throws IOException {
		ObjectNode settings = example("router");
		set(settings, row.key(), YAML.getNodeFactory().numberNode(value));
		return SettingsFile.parse(settings.toString()).isRight();
	}

	private static NodeSettings parse(JsonNode settings) {
		return SettingsFile.parse(settings.toString()).get();
	}

	private static TreeSet<String> knownKeys() throws IOException {
		TreeSet<String> keys = new TreeSet<>();
		for (String role : List.of("router", "agent")) {
			ObjectNode settings = example(role);
			List<String> sections = new ArrayList<>(List.of("peer", "admin", "platform", "limits"));
			sections.add(role.equals("router") ? "listen" : "agent");
			settings.put("no-such-key", 1);
			sections.forEach((section) -> settings.withObjectProperty(section).put("no-such-key", 1));
			for (SettingsProblem problem : SettingsFile.parse(settings.toString()).getLeft()) {
				String prefix = problem.path().replace("no-such-key", "");
				for (String key : problem.message().replaceAll(".*known here: ", "").split(", ")) {
					keys.add(prefix + key);
				}
			}
		}
		keys.removeAll(List.of("agent", "listen", "peer", "admin", "platform", "limits"));
		return keys;
	}

	private static ObjectNode example(String role) throws IOException {
		return (ObjectNode) YAML.readTree(Files.readString(EXAMPLES.resolve(role + ".yaml")));
	}

	private static void set(ObjectNode settings, String key, JsonNode value) {
		int dot = key.indexOf('.');
		ObjectNode parent = (dot < 0) ? settings : settings.withObjectProperty(key.substring(0, dot));
		parent.set(key.substring(dot + 1), value);
	}

	private static List<Row> rows() throws IOException {
		List<Row> rows = new ArrayList<>();
		String text = Files.readString(PAGE);
		String section = text.substring(text.indexOf("\n## Settings"), text.indexOf("\n## Records"));
		Matcher matcher = ROW.matcher(section);
		while (matcher.find()) {
			rows.add(new Row(matcher.group(1), matcher.group(3).strip(), matcher.group(4).strip()));
		}
		return rows;
	}

	/**
	 * One row of the reference.
	 *
	 * @param key the key
	 * @param range the range
	 * @param defaultValue the default
	 */
	private record Row(String key, String range, String defaultValue) {
	}

}

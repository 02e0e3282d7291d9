package org.acaciamux.internal.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against metrics that operators cannot look up in the catalogue. The names are
 * read from the sources: literals that start with {@code acaciamux.}, or literals that
 * are combined with a constant {@code PREFIX} in the same file or folder. A name that
 * ends in a dot is completed at run time.
 */
public class MetricCatalogueTests {

	private static final Path SOURCES = Path.of("src", "main", "java");

	private static final Path CATALOGUE = Path.of("..", "docs", "METRICS.md");

	private static final Pattern PREFIX = Pattern.compile("String PREFIX = \"(acaciamux\\.[A-Za-z.-]+\\.)\"");

	private static final Pattern FULL_NAME = Pattern.compile("(?<!String PREFIX = )\"(acaciamux\\.[A-Za-z.-]*)\"");

	private static final Pattern JOINED = Pattern.compile("PREFIX \\+ \"([A-Za-z.-]+)\"");

	private static final Pattern ENUM_CONSTANT = Pattern.compile("(?m)^\\s+[A-Z_]+\\(\"([A-Za-z.-]+)\"\\)[,;]");

	private static final Pattern CALL = Pattern.compile("metrics\\.(?:count|gauge|time)\\(([^;,]*)");

	private static final Pattern LITERAL = Pattern.compile("\"([A-Za-z.-]+)\"");

	private static final Pattern ROW = Pattern.compile("(?m)^\\| `(acaciamux\\.[^`<]*)[^`]*` \\|");

	@Test
	public void theCatalogueListsExactlyTheMetricsOfTheCode() throws IOException {
		TreeSet<String> missing = metricsInCode();
		assertFalse(missing.isEmpty(), "no metrics were found in the sources");
		TreeSet<String> surplus = new TreeSet<>();
		Matcher rows = ROW.matcher(Files.readString(CATALOGUE));
		while (rows.find()) {
			String name = withoutLastDot(rows.group(1));
			if (!missing.remove(name)) {
				surplus.add(name);
			}
		}
		assertTrue(missing.isEmpty() && surplus.isEmpty(),
				"docs/METRICS.md differs from the code; to add: " + missing + "; to remove: " + surplus);
	}

	private static TreeSet<String> metricsInCode() throws IOException {
		TreeSet<String> names = new TreeSet<>();
		for (Path file : javaFiles(SOURCES)) {
			String text = Files.readString(file);
			add(names, "", FULL_NAME, text);
			Matcher prefix = PREFIX.matcher(text);
			if (prefix.find()) {
				add(names, prefix.group(1), JOINED, text);
				add(names, prefix.group(1), ENUM_CONSTANT, text);
				for (Path neighbour : javaFiles(file.getParent())) {
					addCalls(names, prefix.group(1), Files.readString(neighbour));
				}
			}
		}
		return names;
	}

	private static void addCalls(TreeSet<String> names, String prefix, String text) {
		Matcher calls = CALL.matcher(text);
		while (calls.find()) {
			add(names, prefix, LITERAL, calls.group(1));
		}
	}

	private static void add(TreeSet<String> names, String prefix, Pattern pattern, String text) {
		Matcher matcher = pattern.matcher(text);
		while (matcher.find()) {
			names.add(withoutLastDot(prefix + matcher.group(1)));
		}
	}

	/**
	 * Removes a last dot, because a name that is completed at run time may be written in
	 * the code with or without the dot before the completed part.
	 */
	private static String withoutLastDot(String name) {
		return name.replaceAll("\\.$", "");
	}

	private static List<Path> javaFiles(Path directory) throws IOException {
		try (Stream<Path> files = Files.walk(directory)) {
			return files.filter((file) -> file.toString().endsWith(".java")).sorted().toList();
		}
	}

}

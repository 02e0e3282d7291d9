package org.acaciamux.internal.event;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against events that operators cannot look up, and against numbers that two
 * events share.
 */
public class EventCatalogueTests {

	private static final Path CATALOGUE = Path.of("..", "docs", "EVENTS.md");

	/**
	 * First event number of each package; its events use that number and the 999 above.
	 * Section 5 of the design page lists the same ranges.
	 */
	private static final Map<String, Integer> RANGES = ranges();

	@Test
	public void theCatalogueListsExactlyTheEventsOfTheCode() throws Exception {
		TreeSet<String> missing = new TreeSet<>();
		for (LogEvent event : events()) {
			missing.add("| " + event.number() + " | `" + event.name() + "` | " + event.level().getName() + " | `"
					+ event.template().replace("|", "\\|") + "` |");
		}
		assertFalse(missing.isEmpty(), "no events were found on the class path");
		TreeSet<String> surplus = new TreeSet<>();
		for (String row : catalogueRows()) {
			if (!missing.remove(row)) {
				surplus.add(row);
			}
		}
		assertTrue(missing.isEmpty() && surplus.isEmpty(), "docs/EVENTS.md differs from the code; rows to add:\n"
				+ String.join("\n", missing) + "\nrows to remove:\n" + String.join("\n", surplus));
	}

	@Test
	public void numbersAreUnique() throws Exception {
		Map<Integer, LogEvent> seen = new LinkedHashMap<>();
		for (LogEvent event : events()) {
			LogEvent other = seen.put(event.number(), event);
			assertTrue(other == null, event.number() + " is the number of " + event + " and " + other);
		}
	}

	@Test
	public void numbersLieInTheRangeOfTheirTopic() throws Exception {
		for (LogEvent event : events()) {
			String name = event.getClass().getPackageName();
			Integer start = RANGES.entrySet()
				.stream()
				.filter((range) -> name.startsWith("org.acaciamux.internal." + range.getKey()))
				.map(Map.Entry::getValue)
				.findFirst()
				.orElseThrow(() -> new AssertionError("no range for events of package " + name));
			assertEquals(event.number() / 1_000 * 1_000, start.intValue(), event.getClass() + "." + event);
		}
	}

	private static List<String> catalogueRows() throws IOException {
		return Files.readAllLines(CATALOGUE)
			.stream()
			.filter((line) -> line.matches("\\| [0-9]+ .*"))
			.map((line) -> line.replaceAll("(?<=` \\|) [^|]* \\|$", ""))
			.toList();
	}

	private static List<LogEvent> events() throws Exception {
		List<LogEvent> events = new ArrayList<>();
		for (Class<?> type : enums()) {
			for (Object constant : type.getEnumConstants()) {
				events.add((LogEvent) constant);
			}
		}
		return events;
	}

	private static List<Class<?>> enums() throws IOException, URISyntaxException, ClassNotFoundException {
		Path root = Path.of(LogEvent.class.getProtectionDomain().getCodeSource().getLocation().toURI());
		List<Class<?>> enums = new ArrayList<>();
		try (Stream<Path> files = Files.walk(root.resolve("org/acaciamux"))) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".class")).sorted().toList()) {
				String name = root.relativize(file).toString().replaceAll("\\.class$", "").replace('/', '.');
				Class<?> type = Class.forName(name, false, LogEvent.class.getClassLoader());
				if (type.isEnum() && LogEvent.class.isAssignableFrom(type)) {
					enums.add(type);
				}
			}
		}
		return enums;
	}

	private static Map<String, Integer> ranges() {
		Map<String, Integer> ranges = new LinkedHashMap<>();
		ranges.put("coordination.routing", 1_000);
		ranges.put("coordination.admission", 2_000);
		ranges.put("coordination.claim", 3_000);
		ranges.put("coordination.configuration", 4_000);
		ranges.put("state.record", 4_000);
		ranges.put("coordination.membership", 5_000);
		ranges.put("coordination.platform", 6_000);
		ranges.put("transport.admin", 7_000);
		ranges.put("transport", 6_000);
		ranges.put("protocol", 6_000);
		ranges.put("process", 7_000);
		ranges.put("state", 7_000);
		ranges.put("coordination.order", 8_000);
		ranges.put("coordination.quarantine", 9_000);
		return ranges;
	}

}

package org.acaciamux.internal.process.direct;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.testng.annotations.Test;

import org.acaciamux.internal.coordination.direct.CrashSuspects.Crashes;
import org.acaciamux.internal.coordination.direct.PartCrashes;
import org.acaciamux.internal.coordination.direct.PromptPart;
import org.acaciamux.internal.protocol.JsonTrees;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a page that a router of another version cannot read while a fleet is
 * upgraded.
 */
public class StartPageTests {

	private static final Map<String, List<List<PromptPart>>> PLACEMENTS = Map.of("i-1@5",
			List.of(List.of(new PromptPart("a", 3))));

	private static final StartPage PAGE = new StartPage(PLACEMENTS,
			Map.of(-7L, new Crashes(Map.of("i-1@5", 100L), OptionalLong.of(200))),
			Map.of("part-1", new PartCrashes(Map.of("i-1@5", new PartCrashes.Crash("s", 100, true, false)),
					OptionalLong.of(50))));

	@Test
	public void pageIsReadAsWritten() throws IOException {
		assertEquals(StartPage.decode(PAGE.encode()), PAGE);
	}

	@Test
	public void pageWithoutCrashesIsRead() throws IOException {
		byte[] former = JsonTrees.write(PlacementsJson.write(PLACEMENTS));
		assertEquals(StartPage.decode(former), new StartPage(PLACEMENTS, Map.of(), Map.of()));
	}

	@Test
	public void formerReaderKeepsThePlacements() throws IOException {
		Map<String, List<List<PromptPart>>> read = PlacementsJson.read(JsonTrees.read(PAGE.encode()));
		assertEquals(read.get("i-1@5"), PLACEMENTS.get("i-1@5"));
	}

	@Test
	public void crashesOfAFormerMessageAllHaveItsAge() throws IOException {
		String former = "{\"fffffffffffffff9\":{\"ageMs\":40,\"servers\":[\"a\",\"b\"]}}";
		assertEquals(CrashesJson.read(JsonTrees.read(former.getBytes())),
				Map.of(-7L, new Crashes(Map.of("a", 40L, "b", 40L), OptionalLong.empty())));
	}

}

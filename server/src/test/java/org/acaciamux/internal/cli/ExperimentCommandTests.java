package org.acaciamux.internal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against experiment files that are misread without an error, and against reports
 * that are not written.
 */
public class ExperimentCommandTests {

	private static Run run(String yaml) throws IOException {
		Path directory = Files.createTempDirectory("experiment");
		Path file = Files.writeString(directory.resolve("load.yaml"), yaml);
		Run run = Run.of("experiment", "-f", file.toString(), "-o", directory.resolve("out").toString());
		if (run.code() == CliExitCode.OK) {
			assertTrue(Files.readString(directory.resolve("out/in-time.svg")).contains("<polyline"));
			assertTrue(Files.readString(directory.resolve("out/first-token.svg")).startsWith("<svg"));
			assertTrue(Files.readString(directory.resolve("out/report.md")).startsWith("# Experiment"));
		}
		return run;
	}

	@Test
	public void reportComparesPoliciesAndNumbersOfEngines() throws IOException {
		Run run = run(
				"seed: 3\nseconds: 3\nkinds: [{ name: chat }]\npolicies: [router, admit-all]\nengineCounts: [2, 3]\n"
						+ "surges: [{ atSecond: 1, forSeconds: 1, times: 3 }]\n");
		assertEquals(run.code(), CliExitCode.OK, run.err());
		for (String label : new String[] { "router, 2 engines", "admit-all, 3 engines", "organisation-1" }) {
			assertTrue(run.out().contains(label), run.out());
		}
	}

	@Test
	public void everyProblemOfAFileIsReported() throws IOException {
		Run run = run("sed: 3\nkinds: [{ name: chat, perSecond: -1 }]\npolicies: [fastest]\nengineCounts: [0]\n"
				+ "surges: [{ organisation: 7 }]\n");
		assertEquals(run.code(), CliExitCode.USAGE);
		for (String path : new String[] { "sed:", "kinds[0].perSecond:", "policies:", "engineCounts:",
				"surges[0].organisation:" }) {
			assertTrue(run.err().contains(path), run.err());
		}
	}

	@Test
	public void fileWithoutKindsOfRequestIsRefused() throws IOException {
		assertTrue(run("seed: 1\n").err().contains("kinds:"));
	}

	@Test
	public void theExampleFilesAreValid() throws IOException {
		Path out = Files.createTempDirectory("experiment");
		for (String name : new String[] { "evening", "sizing" }) {
			Run run = Run.of("experiment", "-f", "../examples/experiments/" + name + ".yaml", "-o", out.toString());
			assertEquals(run.code(), CliExitCode.OK, run.err());
		}
	}

}

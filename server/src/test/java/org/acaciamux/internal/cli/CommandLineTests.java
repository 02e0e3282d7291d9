package org.acaciamux.internal.cli;

import java.util.Arrays;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against help without an example or the exit codes, changed exit codes, wrong
 * exit codes for usage errors and an unreachable platform, and invalid example records.
 */
public class CommandLineTests {

	@DataProvider
	public Object[][] commands() {
		return new Object[][] { { "apply" }, { "get" }, { "diff" }, { "delete" }, { "status" }, { "backlog" },
				{ "dump" }, { "validate" }, { "explain" }, { "experiment" }, { "version" } };
	}

	@Test(dataProvider = "commands")
	public void theHelpOfEachCommandHasAnExampleAndTheExitCodes(String command) {
		Run run = Run.of(command, "--help");
		assertEquals(run.code(), CliExitCode.OK, run.err());
		assertTrue(run.out().contains("example: acaciamux " + command), run.out());
		assertTrue(run.out().contains("  7  diff found differences"), run.out());
	}

	@Test
	public void theHelpListsEveryCommandAndExitCode() {
		String help = Run.of("--help").out();
		for (Object[] command : commands()) {
			assertTrue(help.contains("example: acaciamux " + command[0]), help);
		}
	}

	/** Scripts depend on the numbers. */
	@Test
	public void exitCodesAreStable() {
		assertEquals(Arrays.stream(CliExitCode.values()).map((code) -> code + "=" + code.code()).toList().toString(),
				"[OK=0, INTERNAL=1, USAGE=2, INVALID=3, CONFLICT=4, NOT_FOUND=5, UNAVAILABLE=6, DIFFERENT=7]");
	}

	@DataProvider
	public Object[][] wrongUsage() {
		return new Object[][] { { "" }, { "aply" }, { "apply" }, { "status --platfrom 127.0.0.1:1" }, { "status" },
				{ "status --platform nowhere" }, { "status --platform 127.0.0.1:99999" },
				{ "get --platform 127.0.0.1:1" }, { "get Priority --platform 127.0.0.1:1 --output xml" },
				{ "explain Pool" }, { "delete Priority" }, { "apply -f /nowhere/records.yaml --platform 127.0.0.1:1" },
				{ "dump --admin x" }, { "experiment" }, { "experiment -f /nowhere/load.yaml" } };
	}

	@Test(dataProvider = "wrongUsage")
	public void wrongUsageIsReportedAsSuch(String line) {
		assertEquals(Run.of(line.isEmpty() ? new String[0] : line.split(" ")).code(), CliExitCode.USAGE);
	}

	@Test
	public void aPlatformThatCannotBeReachedIsReportedAsSuch() {
		FakeObjectApi api = new FakeObjectApi();
		api.close();
		assertEquals(Run.on(api, "", "get", "Priority").code(), CliExitCode.UNAVAILABLE);
	}

	@Test
	public void invalidYamlIsReportedWithItsLine() {
		Run run = Run.with("", "kind: Priority\nname: [", false, () -> 0, "validate", "-f", "-");
		assertEquals(run.code(), CliExitCode.INVALID);
		assertTrue(run.err().contains("line 2"), run.err());
	}

	@Test
	public void theExampleRecordsAreValid() {
		for (String deployment : new String[] { "kiosk", "rota" }) {
			Run run = Run.of("validate", "-f", "../examples/records/" + deployment);
			assertEquals(run.code(), CliExitCode.OK, run.err());
		}
	}

	@Test
	public void explainPrintsTheReferencePage() {
		assertTrue(Run.of("explain", "BackendPool").out().startsWith("# BackendPool"));
	}

}
